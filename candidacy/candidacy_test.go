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

// look is what an entry sees at a moment.
type look struct {
	after   time.Duration
	owners  candidacy.Holders
	holders candidacy.Holders
	// seats and shards are what it then holds, stands what it then does.
	seats, shards int
	stands        bool
}

func TestCandidacy(t *testing.T) {
	plenty := candidacy.Holders{Strong: 32}
	few := candidacy.Holders{Strong: 2, Weak: 7}
	tests := map[string]struct {
		isStrong bool
		looks    []look
	}{
		"a strong one stands with its first seat": {true, []look{
			{0, plenty, plenty, 0, 0, false},
			{time.Second, plenty, plenty, 1, 0, true},
		}},
		"it stays for a while without one": {true, []look{
			{0, plenty, plenty, 1, 1, true},
			{9 * time.Second, plenty, plenty, 0, 0, true},
			{11 * time.Second, plenty, plenty, 0, 0, false},
		}},
		"it stays while it owns a shard": {true, []look{
			{0, plenty, plenty, 1, 1, true},
			{time.Minute, plenty, plenty, 0, 1, true},
		}},
		"a strong one does not wait for its seat where owners are lost": {true, []look{
			{0, few, plenty, 0, 0, false},
			{2 * time.Second, few, plenty, 0, 0, true},
		}},
		"a weak one leaves it to four strong ones": {false, []look{
			{0, candidacy.Holders{Strong: 4}, candidacy.Holders{Strong: 4}, 0, 0, false},
			{time.Hour, candidacy.Holders{Strong: 4}, candidacy.Holders{Strong: 4}, 0, 0, false},
		}},
		"a weak one lets strong ones go first": {false, []look{
			{0, candidacy.Holders{Strong: 1}, plenty, 0, 0, false},
			{2 * time.Second, candidacy.Holders{Strong: 3}, plenty, 0, 0, false},
			{4 * time.Second, plenty, plenty, 0, 0, false},
			{time.Minute, few, plenty, 0, 0, false},
		}},
		"a weak one is there where owners stay few": {false, []look{
			{0, few, few, 0, 0, false},
			{5 * time.Second, few, few, 0, 0, true},
			{time.Minute, few, candidacy.Holders{Strong: 2, Weak: 8, Self: true}, 1, 1, true},
		}},
		"a weak one that comes back is there at once": {false, []look{
			{0, few, candidacy.Holders{Strong: 2, Weak: 8, Self: true}, 1, 2, true},
		}},
		"a weak one leaves once strong ones are enough": {false, []look{
			{0, few, candidacy.Holders{Strong: 2, Weak: 8, Self: true}, 1, 1, true},
			{5 * time.Second, few, candidacy.Holders{Strong: 4, Weak: 8, Self: true}, 1, 1, true},
			{10 * time.Second, few, candidacy.Holders{Strong: 4, Weak: 8, Self: true}, 1, 1, true},
			{time.Minute, few, candidacy.Holders{Strong: 4, Weak: 8, Self: true}, 1, 1, false},
		}},
		"a weak one makes room for strong ones that may wait": {false, []look{
			{0, few, candidacy.Holders{Weak: 15, Self: true}, 1, 1, true},
			{5 * time.Second, few, candidacy.Holders{Strong: 3, Weak: 29, Self: true}, 1, 1, true},
			{time.Minute, few, candidacy.Holders{Strong: 3, Weak: 29, Self: true}, 1, 1, false},
		}},
		"a weak one stays where all have a seat": {false, []look{
			{0, few, candidacy.Holders{Strong: 3, Weak: 7, Self: true}, 1, 1, true},
			{5 * time.Second, few, candidacy.Holders{Strong: 3, Weak: 23, Self: true}, 1, 1, true},
			{time.Hour, few, candidacy.Holders{Strong: 3, Weak: 23, Self: true}, 1, 1, true},
		}},
		"a weak one without a seat leaves": {false, []look{
			{0, few, candidacy.Holders{Weak: 15, Self: true}, 0, 0, false},
			{5 * time.Second, plenty, candidacy.Holders{Weak: 32}, 0, 0, false},
			{time.Minute, plenty, candidacy.Holders{Weak: 32}, 0, 0, false},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			seat := candidacy.New(candidacy.Options{Name: "edge-1", Strong: test.isStrong, Shards: shards})
			for index, seen := range test.looks {
				now := begin.Add(seen.after)
				if seat.LooksAtOwners(now) {
					seat.NoteOwners(seen.owners, now)
				}
				if seat.LooksAtHolders(now) {
					seat.NoteHolders(seen.holders, now)
				}
				if seat.Applies() {
					seat.NoteDealt(seen.seats)
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
	entries       []*candidacy.Candidacy
	away          []bool
	seats, shards dealt
}

func newFleet(strong, weak int) *fleet {
	made := &fleet{strong: strong, away: make([]bool, strong+weak), seats: dealt{parts: candidacy.Seats(shards)}, shards: dealt{parts: shards}}
	for number := range strong + weak {
		made.entries = append(made.entries, made.begin(number))
	}
	return made
}

func (made *fleet) begin(number int) *candidacy.Candidacy {
	return candidacy.New(candidacy.Options{Name: fmt.Sprintf("edge-%d", number), Strong: number < made.strong, Shards: shards})
}

// holders returns who holds some of what is dealt, as an entry sees it.
func (made *fleet) holders(group *dealt, entry int) candidacy.Holders {
	holders := candidacy.Holders{Self: group.holds(entry) > 0}
	for _, number := range group.members {
		switch {
		case group.holds(number) == 0:
		case number < made.strong:
			holders.Strong++
		default:
			holders.Weak++
		}
	}
	return holders
}

// step has all entries that are there look and decide, and returns how many stand.
func (made *fleet) step(now time.Time) int {
	var applying, standing []int
	for number, entry := range made.entries {
		if made.away[number] {
			continue
		}
		if entry.LooksAtOwners(now) {
			entry.NoteOwners(made.holders(&made.shards, number), now)
		}
		if entry.LooksAtHolders(now) {
			entry.NoteHolders(made.holders(&made.seats, number), now)
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
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newFleet(test.strong, test.weak)
			standing := 0
			for second := range 90 {
				standing = made.step(begin.Add(time.Duration(second) * time.Second))
			}
			if most := candidacy.Seats(shards) + shards; standing < 4 || standing > most {
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
		made := newFleet(rapid.IntRange(0, 40).Draw(t, "strong"), rapid.IntRange(1, 80).Draw(t, "weak"))
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
