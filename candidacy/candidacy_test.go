package candidacy_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ambertiller.example/ambertiller/candidacy"
)

const shardCount = 16

var startTime = time.Date(2026, time.March, 2, 8, 0, 0, 0, time.UTC)

// smallAgentCount is how many there are in a deployment of which two strong entries bear the shards, largeAgentCount in one in which each
// strong entry bears one.
const (
	smallAgentCount = 60
	largeAgentCount = 800
)

// selfName is the entry that decides.
const selfName = "edge-1"

// newEntries returns so many strong and weak entries, of them the one that decides.
func newEntries(strong, weak int, with ...candidacy.Entry) []candidacy.Entry {
	found := slices.Clone(with)
	for number := range strong {
		found = append(found, candidacy.Entry{Name: fmt.Sprintf("strong-%d", number), Strong: true})
	}
	for number := range weak {
		found = append(found, candidacy.Entry{Name: fmt.Sprintf("weak-%d", number)})
	}
	return found
}

// observation is what an entry sees at a moment.
type observation struct {
	after           time.Duration
	owners, holders []candidacy.Entry
	// heldSeats and shards are what it then holds, stands what it then does.
	heldSeats, ownedShards int
	isCandidate            bool
}

func TestCandidacy(t *testing.T) {
	plenty := newEntries(20, 0)
	few := newEntries(1, 7)
	weakSelf, strongSelf := candidacy.Entry{Name: selfName}, candidacy.Entry{Name: selfName, Strong: true}
	tests := map[string]struct {
		isStrong bool
		agents   int
		looks    []observation
	}{
		"a strong one stands with its first seat": {true, largeAgentCount, []observation{
			{0, plenty, plenty, 0, 0, false},
			{time.Second, plenty, plenty, 1, 0, true},
		}},
		"it stays for a while without one": {true, largeAgentCount, []observation{
			{0, plenty, plenty, 1, 1, true},
			{9 * time.Second, plenty, plenty, 0, 0, true},
			{11 * time.Second, plenty, plenty, 0, 0, false},
		}},
		"it stays while it owns a shard of a fleet": {true, largeAgentCount, []observation{
			{0, plenty, plenty, 1, 1, true},
			{time.Minute, plenty, plenty, 0, 1, true},
		}},
		"a strong one does not wait for its seat where owners are lost": {true, largeAgentCount, []observation{
			{0, few, plenty, 0, 0, false},
			{2 * time.Second, few, plenty, 0, 0, true},
		}},
		"one of few strong ones stands": {true, smallAgentCount, []observation{
			{0, newEntries(1, 0), newEntries(1, 4, strongSelf), 3, 0, true},
			{time.Minute, newEntries(1, 0), newEntries(1, 4, strongSelf), 3, 8, true},
		}},
		"one of more strong ones than are needed leaves it to those before it": {true, smallAgentCount, []observation{
			{0, plenty, newEntries(1, 0, strongSelf), 3, 0, true},
			{5 * time.Second, plenty, newEntries(12, 0, strongSelf), 3, 3, true},
			{20 * time.Second, plenty, newEntries(12, 0, strongSelf), 3, 3, false},
		}},
		"it is there where those are lost": {true, smallAgentCount, []observation{
			{0, plenty, newEntries(12, 0, strongSelf), 3, 0, false},
			{62 * time.Second, newEntries(1, 0), newEntries(12, 0, strongSelf), 3, 0, false},
			{64 * time.Second, newEntries(1, 0), newEntries(12, 0, strongSelf), 3, 0, true},
		}},
		"a weak one leaves it to two strong ones": {false, smallAgentCount, []observation{
			{0, newEntries(2, 0), newEntries(2, 0), 0, 0, false},
			{time.Hour, newEntries(2, 0), newEntries(2, 0), 0, 0, false},
		}},
		"a weak one lets strong ones go first": {false, smallAgentCount, []observation{
			{0, newEntries(1, 0), plenty, 0, 0, false},
			{2 * time.Second, newEntries(1, 0), plenty, 0, 0, false},
			{4 * time.Second, plenty, plenty, 0, 0, false},
			{time.Minute, few, plenty, 0, 0, false},
		}},
		"a weak one is there where owners stay few": {false, largeAgentCount, []observation{
			{0, few, few, 0, 0, false},
			{5 * time.Second, few, few, 0, 0, true},
			{time.Minute, few, newEntries(1, 8, weakSelf), 1, 1, true},
		}},
		"a weak one is there sooner where nobody is": {false, largeAgentCount, []observation{
			{0, nil, newEntries(2, 0), 0, 0, false},
			{3 * time.Second, nil, newEntries(2, 0), 0, 0, true},
		}},
		"a weak one that comes back is there at once": {false, largeAgentCount, []observation{
			{0, few, newEntries(1, 8, weakSelf), 1, 2, true},
		}},
		"a weak one leaves once strong ones are enough": {false, largeAgentCount, []observation{
			{0, few, newEntries(1, 8, weakSelf), 1, 1, true},
			{5 * time.Second, few, newEntries(16, 8, weakSelf), 1, 1, true},
			{10 * time.Second, few, newEntries(16, 8, weakSelf), 1, 1, true},
			{time.Minute, few, newEntries(16, 8, weakSelf), 1, 1, false},
		}},
		"a weak one makes room for strong ones that may wait": {false, largeAgentCount, []observation{
			{0, few, newEntries(0, 15, weakSelf), 1, 1, true},
			{5 * time.Second, few, newEntries(3, 29, weakSelf), 1, 1, true},
			{time.Minute, few, newEntries(3, 29, weakSelf), 1, 1, false},
		}},
		"a weak one stays where all have a seat": {false, largeAgentCount, []observation{
			{0, few, newEntries(3, 7, weakSelf), 1, 1, true},
			{5 * time.Second, few, newEntries(3, 23, weakSelf), 1, 1, true},
			{time.Hour, few, newEntries(3, 23, weakSelf), 1, 1, true},
		}},
		"a weak one without a seat leaves": {false, largeAgentCount, []observation{
			{0, few, newEntries(0, 15, weakSelf), 0, 0, false},
			{5 * time.Second, plenty, newEntries(0, 32), 0, 0, false},
			{time.Minute, plenty, newEntries(0, 32), 0, 0, false},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			seat := candidacy.New(candidacy.Options{Self: candidacy.Entry{Name: selfName, Strong: test.isStrong}, Shards: shardCount})
			seat.SetAgentCount(test.agents)
			for index, seen := range test.looks {
				now := startTime.Add(seen.after)
				if seat.NeedsOwners(now) {
					seat.ObserveOwners(seen.owners, now)
				}
				if seat.WantsSeat() {
					seat.SetHeldSeats(seen.heldSeats)
				}
				if seat.NeedsSeatHolders(now) {
					seat.ObserveSeatHolders(seen.holders, now)
				}
				if got := seat.Decide(seen.ownedShards, now); got != seen.isCandidate {
					t.Errorf("look %d: stands %v", index, got)
				}
			}
		})
	}
}

// partitionGroup is a group of the store that deals parts evenly over its members.
type partitionGroup struct {
	partitions int
	members    []int
}

// partitionsOf counts the parts of a member.
func (group *partitionGroup) partitionsOf(entry int) int {
	at := slices.Index(group.members, entry)
	if at < 0 {
		return 0
	}
	share := group.partitions / len(group.members)
	if at < group.partitions%len(group.members) {
		share++
	}
	return share
}

// fleet is entries over a store, some of which may be away. The first so many are strong.
type fleet struct {
	strong        int
	agents        int
	candidacies   []*candidacy.Candidacy
	down          []bool
	seats, owners partitionGroup
}

func newFleet(strong, weak, agents int) *fleet {
	made := &fleet{strong: strong, agents: agents, down: make([]bool, strong+weak), seats: partitionGroup{partitions: candidacy.SeatCount(shardCount)}, owners: partitionGroup{partitions: shardCount}}
	for number := range strong + weak {
		made.candidacies = append(made.candidacies, made.newCandidacy(number))
	}
	return made
}

func (made *fleet) entry(number int) candidacy.Entry {
	return candidacy.Entry{Name: fmt.Sprintf("edge-%d", number), Strong: number < made.strong}
}

func (made *fleet) newCandidacy(number int) *candidacy.Candidacy {
	return candidacy.New(candidacy.Options{Self: made.entry(number), Shards: shardCount})
}

// holders returns who holds some of what is dealt.
func (made *fleet) holders(group *partitionGroup) []candidacy.Entry {
	var holders []candidacy.Entry
	for _, number := range group.members {
		if group.partitionsOf(number) > 0 {
			holders = append(holders, made.entry(number))
		}
	}
	return holders
}

// step has all entries that are there look and decide, and returns how many stand.
func (made *fleet) step(now time.Time) int {
	var applying, standing []int
	owners, holders := made.holders(&made.owners), made.holders(&made.seats)
	for number, entry := range made.candidacies {
		if made.down[number] {
			continue
		}
		if entry.NeedsOwners(now) {
			entry.ObserveOwners(owners, now)
		}
		if entry.NeedsSeatHolders(now) {
			entry.ObserveSeatHolders(holders, now)
		}
		if entry.NeedsAgentCount() {
			entry.SetAgentCount(made.agents)
		}
		if entry.WantsSeat() {
			applying = append(applying, number)
		}
	}
	made.seats.members = applying
	for number, entry := range made.candidacies {
		if made.down[number] {
			continue
		}
		entry.SetHeldSeats(made.seats.partitionsOf(number))
		if entry.Decide(made.owners.partitionsOf(number), now) {
			standing = append(standing, number)
		}
	}
	made.owners.members = standing
	return len(standing)
}

// TestCandidateCountIsBounded counts the connections that candidates keep, one to each agent, in a fleet and one of
// twice the size: they grow with the agents, not with the entries too.
func TestCandidateCountIsBounded(t *testing.T) {
	tests := map[string]struct{ strong, weak, agents int }{
		"a fleet":                     {50, 134, 800},
		"one of twice the size":       {100, 268, 1600},
		"one whose entries are alike": {184, 0, 800},
		"one of weak entries":         {0, 184, 800},
		"a small deployment":          {6, 8, 76},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newFleet(test.strong, test.weak, test.agents)
			standing := 0
			for second := range 90 {
				standing = made.step(startTime.Add(time.Duration(second) * time.Second))
			}
			if most := candidacy.SeatCount(shardCount) + shardCount; standing < 2 || standing > most {
				t.Errorf("%d of %d entries stand, want %d at most", standing, test.strong+test.weak, most)
			}
			t.Logf("%d connections of %d", standing*test.agents, (test.strong+test.weak)*test.agents)
		})
	}
}

// TestThereAreCandidatesWhateverIsLost takes entries away and brings them back at random. While any is there, one stands
// within a few seconds, and once all are back no more stand than there are seats and shards.
func TestThereAreCandidatesWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		made := newFleet(rapid.IntRange(0, 40).Draw(t, "strong"), rapid.IntRange(1, 80).Draw(t, "weak"), rapid.IntRange(1, 2000).Draw(t, "agents"))
		now := startTime
		for range rapid.IntRange(1, 6).Draw(t, "turns") {
			made.redrawDown(t, rapid.IntRange(0, 100).Draw(t, "share lost"))
			standing := 0
			for range 7 {
				now = now.Add(time.Second)
				standing = made.step(now)
			}
			if standing == 0 && slices.Contains(made.down, false) {
				t.Fatalf("nobody stands of %d strong and %d weak entries: away %v", made.strong, len(made.down)-made.strong, made.down)
			}
		}
		made.redrawDown(t, 0)
		standing := 0
		for range 120 {
			now = now.Add(time.Second)
			standing = made.step(now)
		}
		if most := candidacy.SeatCount(shardCount) + shardCount; standing == 0 || standing > most {
			t.Fatalf("%d stand, want %d at most", standing, most)
		}
	})
}

// redrawDown takes a share of the entries away and brings the others back. What comes back is another process.
func (made *fleet) redrawDown(t *rapid.T, share int) {
	for number := range made.down {
		lost := rapid.IntRange(0, 99).Draw(t, "luck") < share
		if made.down[number] && !lost {
			made.candidacies[number] = made.newCandidacy(number)
		}
		made.down[number] = lost
	}
}
