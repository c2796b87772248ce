package state

import "ambertiller.example/ambertiller/record"

// ClaimPhase says how far a claimed request has come.
type ClaimPhase int32

// The phases of a claim. A released claim is removed.
const (
	ClaimHeld ClaimPhase = iota + 1
	ClaimFinished
	ClaimUnknown
)

// Claim returns the claim on a key, nil when nobody holds or held it.
func (folded *State) Claim(key string) *record.ClaimState { return folded.claims[key] }

// ClaimKeysWrittenBefore returns up to limit keys of ended claims that were
// written before the time, in Unix nanoseconds.
func (folded *State) ClaimKeysWrittenBefore(unixNano int64, limit int) []string {
	var keys []string
	for key, claim := range folded.claims {
		if len(keys) == limit {
			break
		}
		if claim.GetWrittenUnixNano() < unixNano {
			keys = append(keys, key)
		}
	}
	return keys
}

func (folded *State) acquireClaim(claim *record.Claim, written int64) Reason {
	if !isValidName(claim.GetKey()) || !isValidName(claim.GetHolder()) {
		return ReasonInvalid
	}
	if _, taken := folded.claims[claim.GetKey()]; taken {
		return ReasonExists
	}
	folded.claims[claim.GetKey()] = &record.ClaimState{
		Key:             claim.GetKey(),
		Holder:          claim.GetHolder(),
		Service:         claim.GetService(),
		Phase:           int32(ClaimHeld),
		WrittenUnixNano: written,
	}
	return ""
}

// heldClaim finds the claim that the holder holds and has not ended.
func (folded *State) heldClaim(key, holder string) (*record.ClaimState, Reason) {
	claim, found := folded.claims[key]
	if !found {
		return nil, ReasonUnknown
	}
	if claim.GetHolder() != holder {
		return nil, ReasonHolder
	}
	if claim.GetPhase() != int32(ClaimHeld) {
		return nil, ReasonPhase
	}
	return claim, ""
}

func (folded *State) releaseClaim(release *record.ClaimRelease) Reason {
	if _, reason := folded.heldClaim(release.GetKey(), release.GetHolder()); reason != "" {
		return reason
	}
	delete(folded.claims, release.GetKey())
	return ""
}

func (folded *State) finishClaim(finish *record.ClaimFinish) Reason {
	claim, reason := folded.heldClaim(finish.GetKey(), finish.GetHolder())
	if reason != "" {
		return reason
	}
	claim.Phase = int32(ClaimFinished)
	if finish.GetUnknown() {
		claim.Phase = int32(ClaimUnknown)
	}
	claim.Status = finish.GetStatus()
	return ""
}

func (folded *State) forgetClaim(forget *record.ClaimForget) Reason {
	if _, found := folded.claims[forget.GetKey()]; !found {
		return ReasonUnknown
	}
	delete(folded.claims, forget.GetKey())
	return ""
}
