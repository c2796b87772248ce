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

// With smallAgentCount agents, two strong entries can run all shards. With largeAgentCount agents, a strong
// entry can run only one shard.
const (
	smallAgentCount = 60
	largeAgentCount = 800
)

// selfName is the name of the entry under test.
const selfName = "edge-1"

// newEntries returns the additional entries, followed by the given numbers of strong and weak ones.
func newEntries(strong, weak int, additional ...candidacy.Entry) []candidacy.Entry {
	entries := slices.Clone(additional)
	for number := range strong {
		entries = append(entries, candidacy.Entry{Name: fmt.Sprintf("strong-%d", number), Strong: true})
	}
	for number := range weak {
		entries = append(entries, candidacy.Entry{Name: fmt.Sprintf("weak-%d", number)})
	}
	return entries
}

// observation is what the entry under test observes at a time, and the expected decision.
type observation struct {
	after           time.Duration // since startTime
	owners, holders []candidacy.Entry
	// heldSeats and ownedShards are those of the entry under test.
	heldSeats, ownedShards int
	isCandidate            bool // expected
}

// TestCandidacy passes sequences of observations to one entry and checks after each whether it is a
// candidate.
func TestCandidacy(t *testing.T) {
	plenty := newEntries(20, 0)
	few := newEntries(1, 7)
	weakSelf, strongSelf := candidacy.Entry{Name: selfName}, candidacy.Entry{Name: selfName, Strong: true}
	tests := map[string]struct {
		isStrong     bool
		agentCount   int
		observations []observation
	}{
		"strong entry becomes candidate with its first seat": {true, largeAgentCount, []observation{
			{0, plenty, plenty, 0, 0, false},
			{time.Second, plenty, plenty, 1, 0, true},
		}},
		"strong entry remains candidate for a while after losing its seat": {true, largeAgentCount, []observation{
			{0, plenty, plenty, 1, 1, true},
			{9 * time.Second, plenty, plenty, 0, 0, true},
			{11 * time.Second, plenty, plenty, 0, 0, false},
		}},
		"large fleet: strong entry without seat remains candidate while it owns a shard": {true, largeAgentCount, []observation{
			{0, plenty, plenty, 1, 1, true},
			{time.Minute, plenty, plenty, 0, 1, true},
		}},
		"strong entry without seat becomes candidate if there are too few owners": {true, largeAgentCount, []observation{
			{0, few, plenty, 0, 0, false},
			{2 * time.Second, few, plenty, 0, 0, true},
		}},
		"one of few strong entries is a candidate": {true, smallAgentCount, []observation{
			{0, newEntries(1, 0), newEntries(1, 4, strongSelf), 3, 0, true},
			{time.Minute, newEntries(1, 0), newEntries(1, 4, strongSelf), 3, 8, true},
		}},
		"strong entry is not a candidate if enough entries rank before it": {true, smallAgentCount, []observation{
			{0, plenty, newEntries(1, 0, strongSelf), 3, 0, true},
			{5 * time.Second, plenty, newEntries(12, 0, strongSelf), 3, 3, true},
			{20 * time.Second, plenty, newEntries(12, 0, strongSelf), 3, 3, false},
		}},
		"strong entry of low rank becomes candidate when owners fail": {true, smallAgentCount, []observation{
			{0, plenty, newEntries(12, 0, strongSelf), 3, 0, false},
			{62 * time.Second, newEntries(1, 0), newEntries(12, 0, strongSelf), 3, 0, false},
			{64 * time.Second, newEntries(1, 0), newEntries(12, 0, strongSelf), 3, 0, true},
		}},
		"weak entry is not a candidate beside two sufficient strong owners": {false, smallAgentCount, []observation{
			{0, newEntries(2, 0), newEntries(2, 0), 0, 0, false},
			{time.Hour, newEntries(2, 0), newEntries(2, 0), 0, 0, false},
		}},
		"weak entry waits for strong entries to take over": {false, smallAgentCount, []observation{
			{0, newEntries(1, 0), plenty, 0, 0, false},
			{2 * time.Second, newEntries(1, 0), plenty, 0, 0, false},
			{4 * time.Second, plenty, plenty, 0, 0, false},
			{time.Minute, few, plenty, 0, 0, false},
		}},
		"weak entry becomes candidate if there are too few owners for long": {false, largeAgentCount, []observation{
			{0, few, few, 0, 0, false},
			{5 * time.Second, few, few, 0, 0, true},
			{time.Minute, few, newEntries(1, 8, weakSelf), 1, 1, true},
		}},
		"weak entry becomes candidate sooner if there are no owners": {false, largeAgentCount, []observation{
			{0, nil, newEntries(2, 0), 0, 0, false},
			{3 * time.Second, nil, newEntries(2, 0), 0, 0, true},
		}},
		"weak entry with seats is a candidate right after a restart": {false, largeAgentCount, []observation{
			{0, few, newEntries(1, 8, weakSelf), 1, 2, true},
		}},
		"weak entry withdraws once there are enough strong entries": {false, largeAgentCount, []observation{
			{0, few, newEntries(1, 8, weakSelf), 1, 1, true},
			{5 * time.Second, few, newEntries(16, 8, weakSelf), 1, 1, true},
			{10 * time.Second, few, newEntries(16, 8, weakSelf), 1, 1, true},
			{time.Minute, few, newEntries(16, 8, weakSelf), 1, 1, false},
		}},
		"weak entry withdraws if strong entries may be waiting for seats": {false, largeAgentCount, []observation{
			{0, few, newEntries(0, 15, weakSelf), 1, 1, true},
			{5 * time.Second, few, newEntries(3, 29, weakSelf), 1, 1, true},
			{time.Minute, few, newEntries(3, 29, weakSelf), 1, 1, false},
		}},
		"weak entry remains candidate while seats are free": {false, largeAgentCount, []observation{
			{0, few, newEntries(3, 7, weakSelf), 1, 1, true},
			{5 * time.Second, few, newEntries(3, 23, weakSelf), 1, 1, true},
			{time.Hour, few, newEntries(3, 23, weakSelf), 1, 1, true},
		}},
		"weak entry without a seat withdraws": {false, largeAgentCount, []observation{
			{0, few, newEntries(0, 15, weakSelf), 0, 0, false},
			{5 * time.Second, plenty, newEntries(0, 32), 0, 0, false},
			{time.Minute, plenty, newEntries(0, 32), 0, 0, false},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			self := candidacy.New(candidacy.Options{Self: candidacy.Entry{Name: selfName, Strong: test.isStrong}, Shards: shardCount})
			self.SetAgentCount(test.agentCount)
			for index, observed := range test.observations {
				now := startTime.Add(observed.after)
				if self.NeedsOwners(now) {
					self.ObserveOwners(observed.owners, now)
				}
				if self.WantsSeat() {
					self.SetHeldSeats(observed.heldSeats)
				}
				if self.NeedsSeatHolders(now) {
					self.ObserveSeatHolders(observed.holders, now)
				}
				if got := self.Decide(observed.ownedShards, now); got != observed.isCandidate {
					t.Errorf("observation %d: unexpected decision %v", index, got)
				}
			}
		})
	}
}

// partitionGroup simulates a group of the store, which distributes partitions evenly among its members.
type partitionGroup struct {
	partitions int
	members    []int // indexes of entries
}

// partitionsOf returns the index of partitions assigned to an entry, 0 if it is not a member.
func (group *partitionGroup) partitionsOf(entry int) int {
	position := slices.Index(group.members, entry)
	if position < 0 {
		return 0
	}
	count := group.partitions / len(group.members)
	if position < group.partitions%len(group.members) {
		count++
	}
	return count
}

// fleet simulates entries that share a store. Entries may be down.
type fleet struct {
	strong        int // the first entries are strong
	agents        int
	candidacies   []*candidacy.Candidacy // by index of the entry
	down          []bool                 // by index of the entry
	seats, owners partitionGroup
}

// newFleet returns a fleet of which all entries have just started.
func newFleet(strong, weak, agents int) *fleet {
	fleet := &fleet{strong: strong, agents: agents, down: make([]bool, strong+weak), seats: partitionGroup{partitions: candidacy.SeatCount(shardCount)}, owners: partitionGroup{partitions: shardCount}}
	for index := range strong + weak {
		fleet.candidacies = append(fleet.candidacies, fleet.newCandidacy(index))
	}
	return fleet
}

func (fleet *fleet) entry(index int) candidacy.Entry {
	return candidacy.Entry{Name: fmt.Sprintf("edge-%d", index), Strong: index < fleet.strong}
}

func (fleet *fleet) newCandidacy(index int) *candidacy.Candidacy {
	return candidacy.New(candidacy.Options{Self: fleet.entry(index), Shards: shardCount})
}

// holders returns the entries that hold at least one partition of a group.
func (fleet *fleet) holders(group *partitionGroup) []candidacy.Entry {
	var holders []candidacy.Entry
	for _, index := range group.members {
		if group.partitionsOf(index) > 0 {
			holders = append(holders, fleet.entry(index))
		}
	}
	return holders
}

// step lets each entry that is up make its observations and decide, and returns the number of candidates.
func (fleet *fleet) step(now time.Time) int {
	var applicants, candidates []int
	owners, holders := fleet.holders(&fleet.owners), fleet.holders(&fleet.seats)
	for index, self := range fleet.candidacies {
		if fleet.down[index] {
			continue
		}
		if self.NeedsOwners(now) {
			self.ObserveOwners(owners, now)
		}
		if self.NeedsSeatHolders(now) {
			self.ObserveSeatHolders(holders, now)
		}
		if self.NeedsAgentCount() {
			self.SetAgentCount(fleet.agents)
		}
		if self.WantsSeat() {
			applicants = append(applicants, index)
		}
	}
	fleet.seats.members = applicants
	for index, self := range fleet.candidacies {
		if fleet.down[index] {
			continue
		}
		self.SetHeldSeats(fleet.seats.partitionsOf(index))
		if self.Decide(fleet.owners.partitionsOf(index), now) {
			candidates = append(candidates, index)
		}
	}
	fleet.owners.members = candidates
	return len(candidates)
}

// TestCandidateCountIsBounded checks that the number of candidates, each of which keeps a connection to every
// agent, doesn't exceed the number of seats and shards, no matter how many entries there are.
func TestCandidateCountIsBounded(t *testing.T) {
	tests := map[string]struct{ strong, weak, agents int }{
		"large fleet":             {50, 134, 800},
		"fleet of twice the size": {100, 268, 1600},
		"strong entries only":     {184, 0, 800},
		"weak entries only":       {0, 184, 800},
		"small deployment":        {6, 8, 76},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(test.strong, test.weak, test.agents)
			candidates := 0
			for second := range 90 {
				candidates = fleet.step(startTime.Add(time.Duration(second) * time.Second))
			}
			if limit := candidacy.SeatCount(shardCount) + shardCount; candidates < 2 || candidates > limit {
				t.Errorf("%d of %d entries are candidates, want 2 to %d", candidates, test.strong+test.weak, limit)
			}
			t.Logf("%d connections to agents, %d if every entry were a candidate", candidates*test.agents, (test.strong+test.weak)*test.agents)
		})
	}
}

// TestThereAreCandidatesWhateverIsLost lets random entries fail and restart. As long as any entry is up,
// there must be a candidate within 7 s. Once all entries are up again, the number of candidates must return
// to at most the number of seats and shards.
func TestThereAreCandidatesWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(0, 40).Draw(t, "strong"), rapid.IntRange(1, 80).Draw(t, "weak"), rapid.IntRange(1, 2000).Draw(t, "agents"))
		now := startTime
		for range rapid.IntRange(1, 6).Draw(t, "turns") {
			fleet.redrawDown(t, rapid.IntRange(0, 100).Draw(t, "share lost"))
			candidates := 0
			for range 7 {
				now = now.Add(time.Second)
				candidates = fleet.step(now)
			}
			if candidates == 0 && slices.Contains(fleet.down, false) {
				t.Fatalf("no candidate among %d strong and %d weak entries, down %v", fleet.strong, len(fleet.down)-fleet.strong, fleet.down)
			}
		}
		fleet.redrawDown(t, 0)
		candidates := 0
		for range 120 {
			now = now.Add(time.Second)
			candidates = fleet.step(now)
		}
		if limit := candidacy.SeatCount(shardCount) + shardCount; candidates == 0 || candidates > limit {
			t.Fatalf("%d candidates with all entries up, want 1 to %d", candidates, limit)
		}
	})
}

// redrawDown draws anew which entries are down, each with a probability in percent. An entry that comes up
// again is a new process without any earlier state.
func (fleet *fleet) redrawDown(t *rapid.T, percent int) {
	for index := range fleet.down {
		isDown := rapid.IntRange(0, 99).Draw(t, "luck") < percent
		if fleet.down[index] && !isDown {
			fleet.candidacies[index] = fleet.newCandidacy(index)
		}
		fleet.down[index] = isDown
	}
}
