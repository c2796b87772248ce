package candidacy_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ambertiller.example/ambertiller/candidacy"
)

const shards = 16

var begin = time.Date(2026, time.March, 2, 8, 0, 0, 0, time.UTC)

// agents is how many there are in a deployment of which two strong entries bear the shards, fleetAgents in one in which each
// strong entry bears one.
const (
	agents      = 60
	fleetAgents = 800
)

// self is the entry that decides.
const self = "edge-1"

// entriesOf returns so many strong and weak entries, of them the one that decides.
func entriesOf(strong, weak int, with ...candidacy.Entry) []candidacy.Entry {
	found := slices.Clone(with)
	for number := range strong {
		found = append(found, candidacy.Entry{Name: fmt.Sprintf("strong-%d", number), Strong: true})
	}
	for number := range weak {
		found = append(found, candidacy.Entry{Name: fmt.Sprintf("weak-%d", number)})
	}
	return found
}

// look is what an entry sees at a moment.
type look struct {
	after           time.Duration
	owners, holders []candidacy.Entry
	// seats and shards are what it then holds, stands what it then does.
	seats, shards int
	stands        bool
}

func TestCandidacy(t *testing.T) {
	plenty := entriesOf(20, 0)
	few := entriesOf(1, 7)
	weakSelf, strongSelf := candidacy.Entry{Name: self}, candidacy.Entry{Name: self, Strong: true}
	tests := map[string]struct {
		isStrong bool
		agents   int
		looks    []look
	}{
		"a strong one stands with its first seat": {true, fleetAgents, []look{
			{0, plenty, plenty, 0, 0, false},
			{time.Second, plenty, plenty, 1, 0, true},
		}},
		"it stays for a while without one": {true, fleetAgents, []look{
			{0, plenty, plenty, 1, 1, true},
			{9 * time.Second, plenty, plenty, 0, 0, true},
			{11 * time.Second, plenty, plenty, 0, 0, false},
		}},
		"it stays while it owns a shard of a fleet": {true, fleetAgents, []look{
			{0, plenty, plenty, 1, 1, true},
			{time.Minute, plenty, plenty, 0, 1, true},
		}},
		"a strong one does not wait for its seat where owners are lost": {true, fleetAgents, []look{
			{0, few, plenty, 0, 0, false},
			{2 * time.Second, few, plenty, 0, 0, true},
		}},
		"one of few strong ones stands": {true, agents, []look{
			{0, entriesOf(1, 0), entriesOf(1, 4, strongSelf), 3, 0, true},
			{time.Minute, entriesOf(1, 0), entriesOf(1, 4, strongSelf), 3, 8, true},
		}},
		"one of more strong ones than are needed leaves it to those before it": {true, agents, []look{
			{0, plenty, entriesOf(1, 0, strongSelf), 3, 0, true},
			{5 * time.Second, plenty, entriesOf(12, 0, strongSelf), 3, 3, true},
			{20 * time.Second, plenty, entriesOf(12, 0, strongSelf), 3, 3, false},
		}},
		"it is there where those are lost": {true, agents, []look{
			{0, plenty, entriesOf(12, 0, strongSelf), 3, 0, false},
			{62 * time.Second, entriesOf(1, 0), entriesOf(12, 0, strongSelf), 3, 0, false},
			{64 * time.Second, entriesOf(1, 0), entriesOf(12, 0, strongSelf), 3, 0, true},
		}},
		"a weak one leaves it to two strong ones": {false, agents, []look{
			{0, entriesOf(2, 0), entriesOf(2, 0), 0, 0, false},
			{time.Hour, entriesOf(2, 0), entriesOf(2, 0), 0, 0, false},
		}},
		"a weak one lets strong ones go first": {false, agents, []look{
			{0, entriesOf(1, 0), plenty, 0, 0, false},
			{2 * time.Second, entriesOf(1, 0), plenty, 0, 0, false},
			{4 * time.Second, plenty, plenty, 0, 0, false},
			{time.Minute, few, plenty, 0, 0, false},
		}},
		"a weak one is there where owners stay few": {false, fleetAgents, []look{
			{0, few, few, 0, 0, false},
			{5 * time.Second, few, few, 0, 0, true},
			{time.Minute, few, entriesOf(1, 8, weakSelf), 1, 1, true},
		}},
		"a weak one is there sooner where nobody is": {false, fleetAgents, []look{
			{0, nil, entriesOf(2, 0), 0, 0, false},
			{3 * time.Second, nil, entriesOf(2, 0), 0, 0, true},
		}},
		"a weak one that comes back is there at once": {false, fleetAgents, []look{
			{0, few, entriesOf(1, 8, weakSelf), 1, 2, true},
		}},
		"a weak one leaves once strong ones are enough": {false, fleetAgents, []look{
			{0, few, entriesOf(1, 8, weakSelf), 1, 1, true},
			{5 * time.Second, few, entriesOf(16, 8, weakSelf), 1, 1, true},
			{10 * time.Second, few, entriesOf(16, 8, weakSelf), 1, 1, true},
			{time.Minute, few, entriesOf(16, 8, weakSelf), 1, 1, false},
		}},
		"a weak one makes room for strong ones that may wait": {false, fleetAgents, []look{
			{0, few, entriesOf(0, 15, weakSelf), 1, 1, true},
			{5 * time.Second, few, entriesOf(3, 29, weakSelf), 1, 1, true},
			{time.Minute, few, entriesOf(3, 29, weakSelf), 1, 1, false},
		}},
		"a weak one stays where all have a seat": {false, fleetAgents, []look{
			{0, few, entriesOf(3, 7, weakSelf), 1, 1, true},
			{5 * time.Second, few, entriesOf(3, 23, weakSelf), 1, 1, true},
			{time.Hour, few, entriesOf(3, 23, weakSelf), 1, 1, true},
		}},
		"a weak one without a seat leaves": {false, fleetAgents, []look{
			{0, few, entriesOf(0, 15, weakSelf), 0, 0, false},
			{5 * time.Second, plenty, entriesOf(0, 32), 0, 0, false},
			{time.Minute, plenty, entriesOf(0, 32), 0, 0, false},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			seat := candidacy.New(candidacy.Options{Self: candidacy.Entry{Name: self, Strong: test.isStrong}, Shards: shards})
			seat.NoteAgents(test.agents)
			for index, seen := range test.looks {
				now := begin.Add(seen.after)
				if seat.LooksAtOwners(now) {
					seat.NoteOwners(seen.owners, now)
				}
				if seat.Applies() {
					seat.NoteDealt(seen.seats)
				}
				if seat.LooksAtHolders(now) {
					seat.NoteHolders(seen.holders, now)
				}
				if got := seat.Stands(seen.shards, now); got != seen.stands {
					t.Errorf("look %d: stands %v", index, got)
				}
			}
		})
	}
}

// dealt is a group of the store that deals parts evenly over its members.
type dealt struct {
	parts   int
	members []int
}

// holds counts the parts of a member.
func (group *dealt) holds(entry int) int {
	at := slices.Index(group.members, entry)
	if at < 0 {
		return 0
	}
	share := group.parts / len(group.members)
	if at < group.parts%len(group.members) {
		share++
	}
	return share
}

// fleet is entries over a store, some of which may be away. The first so many are strong.
type fleet struct {
	strong        int
	agents        int
	entries       []*candidacy.Candidacy
	away          []bool
	seats, shards dealt
}

func newFleet(strong, weak, agents int) *fleet {
	made := &fleet{strong: strong, agents: agents, away: make([]bool, strong+weak), seats: dealt{parts: candidacy.Seats(shards)}, shards: dealt{parts: shards}}
	for number := range strong + weak {
		made.entries = append(made.entries, made.begin(number))
	}
	return made
}

func (made *fleet) entry(number int) candidacy.Entry {
	return candidacy.Entry{Name: fmt.Sprintf("edge-%d", number), Strong: number < made.strong}
}

func (made *fleet) begin(number int) *candidacy.Candidacy {
	return candidacy.New(candidacy.Options{Self: made.entry(number), Shards: shards})
}

// holders returns who holds some of what is dealt.
func (made *fleet) holders(group *dealt) []candidacy.Entry {
	var holders []candidacy.Entry
	for _, number := range group.members {
		if group.holds(number) > 0 {
			holders = append(holders, made.entry(number))
		}
	}
	return holders
}

// step has all entries that are there look and decide, and returns how many stand.
func (made *fleet) step(now time.Time) int {
	var applying, standing []int
	owners, holders := made.holders(&made.shards), made.holders(&made.seats)
	for number, entry := range made.entries {
		if made.away[number] {
			continue
		}
		if entry.LooksAtOwners(now) {
			entry.NoteOwners(owners, now)
		}
		if entry.LooksAtHolders(now) {
			entry.NoteHolders(holders, now)
		}
		if entry.CountsAgents() {
			entry.NoteAgents(made.agents)
		}
		if entry.Applies() {
			applying = append(applying, number)
		}
	}
	made.seats.members = applying
	for number, entry := range made.entries {
		if made.away[number] {
			continue
		}
		entry.NoteDealt(made.seats.holds(number))
		if entry.Stands(made.shards.holds(number), now) {
			standing = append(standing, number)
		}
	}
	made.shards.members = standing
	return len(standing)
}

// TestCandidatesDoNotGrowWithTheFleet counts the connections that candidates keep, one to each agent, in a fleet and one of
// twice the size: they grow with the agents, not with the entries too.
func TestCandidatesDoNotGrowWithTheFleet(t *testing.T) {
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
				standing = made.step(begin.Add(time.Duration(second) * time.Second))
			}
			if most := candidacy.Seats(shards) + shards; standing < 2 || standing > most {
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
		now := begin
		for range rapid.IntRange(1, 6).Draw(t, "turns") {
			made.lose(t, rapid.IntRange(0, 100).Draw(t, "share lost"))
			standing := 0
			for range 7 {
				now = now.Add(time.Second)
				standing = made.step(now)
			}
			if standing == 0 && slices.Contains(made.away, false) {
				t.Fatalf("nobody stands of %d strong and %d weak entries: away %v", made.strong, len(made.away)-made.strong, made.away)
			}
		}
		made.lose(t, 0)
		standing := 0
		for range 120 {
			now = now.Add(time.Second)
			standing = made.step(now)
		}
		if most := candidacy.Seats(shards) + shards; standing == 0 || standing > most {
			t.Fatalf("%d stand, want %d at most", standing, most)
		}
	})
}

// lose takes a share of the entries away and brings the others back. What comes back is another process.
func (made *fleet) lose(t *rapid.T, share int) {
	for number := range made.away {
		lost := rapid.IntRange(0, 99).Draw(t, "luck") < share
		if made.away[number] && !lost {
			made.entries[number] = made.begin(number)
		}
		made.away[number] = lost
	}
}
