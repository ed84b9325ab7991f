package config

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMerge guards against a service that is replaced only in part, a move
// generation that does not change together with the move, and a diff that does not
// match the change.
func TestMerge(t *testing.T) {
	first, problems := propose(t, &Configuration{}, validFile)
	assert.Equal(t, len(problems), 0, "%v", problems)
	edited := strings.Replace(validFile, `"slots": 10, "connections": 130, "dependsOn"`, `"slots": 11, "connections": 130, "dependsOn"`, 1)
	edited = strings.Replace(edited, `, "retry": {"attempts": 3}`, ``, 1)
	second, problems := propose(t, first.Next, edited)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, second.Next.Version, uint64(2))
	assert.Equal(t, second.Next.Bundles["orders"].Generations["m1"], uint64(1))
	assert.Assert(t, second.Next.Bundles["stock"].Service.Routes[0].Retry == nil)
	assert.Equal(t, second.Diff.Text(), `~ service orders
    ~ slots: 10 -> 11
~ service stock
    - routes[look].retry.attempts: 3
`)
	later := strings.Replace(edited, `2027-01-10T05`, `2027-01-11T05`, 1)
	third, problems := propose(t, second.Next, later)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, third.Next.Bundles["orders"].Generations["m1"], uint64(3))
	assert.Equal(t, third.Next.Bundles["stock"], second.Next.Bundles["stock"])
}

// TestRemoval guards against the removal of a service that other services depend
// on, and against a removal that fails when it is repeated.
func TestRemoval(t *testing.T) {
	first, _ := propose(t, &Configuration{}, validFile)
	_, problems := propose(t, first.Next, `{"removedServices": ["stock"]}`)
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Path, "$.removedServices[0]")
	assert.Equal(t, problems[0].Message, "service is needed by orders")
	both, problems := propose(t, first.Next, `{"removedServices": ["stock", "orders"]}`)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, len(both.Next.Bundles), 0)
	again, problems := propose(t, both.Next, `{"removedServices": ["stock"]}`)
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Assert(t, again.Diff.Empty())
	assert.DeepEqual(t, again.Diff.AlreadyRemoved, []string{"stock"})
}

// TestVersionChange guards against shifting all traffic to another target version
// at once: the version may only change to the new version of a completed move.
func TestVersionChange(t *testing.T) {
	service := func(version, moves string) []Source {
		text := fmt.Sprintf(`{"teams":[{"name":"t"}],"services":[{"name":"s","team":"t","version":%q,"slots":1,"connections":1,"moves":[%s]}]}`, version, moves)
		return []Source{{Name: "f", Content: []byte(text)}}
	}
	move := `{"name":"m","from":"v1","to":"v2","by":"2027-01-01T00:00:00Z"}`
	first, err := Propose(&Configuration{}, service("v1", move), Options{Now: testNow})
	assert.NilError(t, err)
	done, checkedGeneration := false, uint64(0)
	options := Options{Now: testNow, MoveDone: func(_, _ string, generation uint64) bool {
		checkedGeneration = generation
		return done
	}}
	_, err = Propose(first.Next, service("v2", ""), options)
	assert.ErrorContains(t, err, "version changes without a move that is done")
	assert.Equal(t, checkedGeneration, uint64(1))
	done = true
	_, err = Propose(first.Next, service("v2", ""), options)
	assert.NilError(t, err)
	_, err = Propose(first.Next, service("v3", ""), options)
	assert.ErrorContains(t, err, "version changes without a move that is done")
}
