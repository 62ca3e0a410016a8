package turn_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

func TestCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 300)
		r := turn.Record{
			State: turn.State(rapid.IntRange(1, 4).Draw(t, "state")), ID: rapid.String().Draw(t, "id"),
			Program: rapid.String().Draw(t, "program"), Previous: rapid.String().Draw(t, "previous"),
			Tokens: rapid.Int64().Draw(t, "tokens"), Retention: time.Duration(rapid.Int64().Draw(t, "retention")),
			Server: incarnation.ID{Server: rapid.String().Draw(t, "server"), Born: rapid.Int64().Draw(t, "born")},
			Part:   rapid.String().Draw(t, "part"), Held: rapid.Int64().Draw(t, "held"), Aim: time.Duration(rapid.Int64().Draw(t, "aim")), Input: text.Draw(t, "input"), Output: text.Draw(t, "output"),
		}
		back, err := turn.Decode(r.Append(nil))
		assert.NilError(t, err)
		assert.DeepEqual(t, back, r)
	})
}

func TestChargedTokensByState(t *testing.T) {
	for state, counts := range map[turn.State]int64{turn.Reserved: 5, turn.Void: 0, turn.Finished: 5, turn.Settled: 5} {
		r := turn.Record{State: state, Tokens: 5}
		assert.Equal(t, r.ChargedTokens(), counts, "%s", state)
	}
}

// TestDecodeRecordWithoutCachedPrompt checks that records of the earlier format, which ends before Part, are still
// decoded.
func TestDecodeRecordWithoutCachedPrompt(t *testing.T) {
	r := turn.Record{State: turn.Finished, ID: "id", Program: "p", Server: incarnation.ID{Server: "s"}, Tokens: 3, Output: []byte("out")}
	before := len(r.Append(nil))
	r.Part, r.Held = "part", 7
	now := r.Append(nil)
	back, err := turn.Decode(now[:before])
	assert.NilError(t, err)
	assert.Equal(t, back.Part, "")
	_, known := back.CachedPrompt()
	assert.Assert(t, !known)
	place, known := r.CachedPrompt()
	assert.Assert(t, known)
	assert.Equal(t, place, turn.CachedPrompt{Server: incarnation.ID{Server: "s"}, Part: "part", Held: 7})
}

func FuzzDecode(f *testing.F) {
	r := turn.Record{State: turn.Finished, ID: "id", Program: "p", Tokens: 3, Input: []byte("in"), Output: []byte("out")}
	f.Add(r.Append(nil))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := turn.Decode(b)
		if err == nil {
			again, err := turn.Decode(r.Append(nil))
			assert.NilError(t, err)
			assert.DeepEqual(t, again, r)
		}
	})
}
