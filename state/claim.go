package state

import "ambertiller.example/ambertiller/record"

// ClaimPhase is the phase of a claim on a request that must not be repeated.
type ClaimPhase int32

// The phases of a claim. The outcome of the request is known in ClaimFinished and
// not known in ClaimUnknown. A released claim is removed instead.
const (
	ClaimHeld ClaimPhase = iota + 1
	ClaimFinished
	ClaimUnknown
)

// Claim returns the claim on a key, or nil if there is none.
func (s *State) Claim(key string) *record.ClaimState { return s.claims[key] }

// ClaimKeysWrittenBefore returns up to limit keys of claims, in whatever phase,
// that were acquired before the given time in Unix nanoseconds.
func (s *State) ClaimKeysWrittenBefore(unixNano int64, limit int) []string {
	var keys []string
	for key, claim := range s.claims {
		if len(keys) == limit {
			break
		}
		if claim.GetWrittenUnixNano() < unixNano {
			keys = append(keys, key)
		}
	}
	return keys
}

func (s *State) acquireClaim(claim *record.Claim, writtenNanos int64) Reason {
	if !isValidName(claim.GetKey()) || !isValidName(claim.GetHolder()) {
		return ReasonInvalid
	}
	if _, taken := s.claims[claim.GetKey()]; taken {
		return ReasonExists
	}
	s.claims[claim.GetKey()] = &record.ClaimState{
		Key:             claim.GetKey(),
		Holder:          claim.GetHolder(),
		Service:         claim.GetService(),
		Phase:           int32(ClaimHeld),
		WrittenUnixNano: writtenNanos,
	}
	return ""
}

// heldClaim returns the claim on a key if the holder has it and it has not ended.
func (s *State) heldClaim(key, holder string) (*record.ClaimState, Reason) {
	claim, found := s.claims[key]
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

func (s *State) releaseClaim(release *record.ClaimRelease) Reason {
	if _, reason := s.heldClaim(release.GetKey(), release.GetHolder()); reason != "" {
		return reason
	}
	delete(s.claims, release.GetKey())
	return ""
}

func (s *State) finishClaim(finish *record.ClaimFinish) Reason {
	claim, reason := s.heldClaim(finish.GetKey(), finish.GetHolder())
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

func (s *State) forgetClaim(forget *record.ClaimForget) Reason {
	if _, found := s.claims[forget.GetKey()]; !found {
		return ReasonUnknown
	}
	delete(s.claims, forget.GetKey())
	return ""
}
