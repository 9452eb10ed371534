package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/platform/standin"
)

func testConfig(seed uint64) Config {
	return Config{Seed: seed, Length: 20 * time.Second, Routers: 3, Targets: 4, Callers: 12}
}

func TestSeedDrawsTheSameSchedule(t *testing.T) {
	is := is.New(t)
	first := Schedule(7, testConfig(7))
	is.True(len(first) > 20)
	is.True(reflect.DeepEqual(first, Schedule(7, testConfig(7))))
	is.True(!reflect.DeepEqual(first, Schedule(8, testConfig(8))))
}

// planted plays one request through a judge and breaks one promise on the way.
type planted struct {
	promise string
	// route is the number of the request's route.
	route int
	// plant changes what the judge is told. It may tell more itself.
	plant func(p *play)
}

// play is a request that is served as it should be, unless a fault is planted.
type play struct {
	judge   *judge
	request *request
	runs    []standin.Run
	answer  answer
	whole   bool
}

func newPlay(route int) *play {
	j := newJudge(time.Now().Add(-time.Minute), nil)
	j.publishes()
	j.published = time.Now().Add(-time.Minute)
	j.added("t1", 1)
	r := &request{id: "r", route: routes[route], method: "POST", path: "/p", body: "b", workspace: "shop0"}
	run := standin.Run{
		RequestID: "r", Target: "t1", Service: r.route.service, Method: "POST", Path: "/p", Body: "b", Workspace: "shop0",
		Deadline: time.Second, StartedAt: time.Now(), FullAnswer: true,
	}
	a := answer{status: 200, requestID: "r", signature: "signed-t1", body: standin.AnswerBody("t1", "r"), complete: true}
	if r.route.stream {
		a.body = ""
		for n := range standin.EventCount {
			a.body += standin.EventText("r", n+1)
		}
	}
	return &play{judge: j, request: r, runs: []standin.Run{run}, answer: a, whole: true}
}

func (p *play) tell() *Violation {
	p.judge.asked(p.request)
	for _, run := range p.runs {
		p.judge.began(run)
		if p.whole {
			p.judge.endedAt(run)
		}
	}
	p.judge.answered(p.request, p.answer)
	return p.judge.violated()
}

// A check that cannot fail proves nothing: each promise is broken once.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, c := range []planted{
		{promiseWhole, idemRoute, func(p *play) { p.answer.body = p.answer.body[1:] }},
		{promiseWhole, idemRoute, func(p *play) { p.answer.requestID = "other" }},
		{promiseWhole, idemRoute, func(p *play) { p.answer.signature = "" }},
		{promiseAsked, idemRoute, func(p *play) { p.runs[0].RequestID = "smuggled" }},
		{promiseAsked, idemRoute, func(p *play) { p.runs[0].Body = "" }},
		{promiseAsked, idemRoute, func(p *play) { p.runs[0].Workspace = "forged" }},
		{promiseAsked, idemRoute, func(p *play) { p.runs[0].ReservedHeaders = []string{"Api-Key"} }},
		{promiseAsked, idemRoute, func(p *play) { p.request.unknownKey = true }},
		{promiseOnce, onceRoute, func(p *play) { p.runs = append(p.runs, p.runs[0]) }},
		{promiseNotRun, onceRoute, func(p *play) { p.answer = answer{status: 503, requestID: "r", complete: true} }},
		{promiseNotRun, onceRoute, func(p *play) {
			late := p.runs[0]
			p.runs = nil
			p.answer = answer{status: 503, requestID: "r", complete: true}
			p.tell()
			p.judge.began(late)
		}},
		{promiseProper, idemRoute, func(p *play) { p.runs, p.answer.status = nil, 401 }},
		{promiseProper, idemRoute, func(p *play) { p.runs, p.answer.status = nil, 404 }},
		{promiseBounded, idemRoute, func(p *play) { p.runs = append(p.runs, p.runs[0], p.runs[0]) }},
		{promiseBounded, idemRoute, func(p *play) { p.runs[0].Deadline = time.Minute }},
		{promiseService, idemRoute, func(p *play) { p.runs[0].Service = "other" }},
		{promiseDrain, idemRoute, func(p *play) { p.judge.draining["t1"] = time.Now().Add(-drainTime - time.Second) }},
		{promiseVersion, idemRoute, func(p *play) { p.request.probe, p.runs, p.answer.status = 1, nil, 404 }},
		{promiseVersion, idemRoute, func(p *play) {
			p.request.probe = 1
			p.judge.proven[bootKey{}] = proof{2, time.Now().Add(-time.Second)}
		}},
		{promiseVersion, idemRoute, func(p *play) {
			p.request.probe = 1
			p.judge.newest = 2
		}},
		{promiseNoLoss, idemRoute, func(p *play) { p.answer = answer{} }},
		{promiseNoLoss, onceRoute, func(p *play) { p.answer = answer{status: 502, requestID: "r", complete: true} }},
		{promiseStream, chatRoute, func(p *play) { p.answer.body = standin.EventText("r", 1) + standin.EventText("r", 3) }},
		{promiseTimeout, idemRoute, func(p *play) {
			p.request.route.timeout = -2 * time.Second
			p.runs, p.answer.status = nil, 504
		}},
		{promiseLeft, idemRoute, func(p *play) { p.request.left = time.Now().Add(-2 * time.Second) }},
		{promiseRecover, idemRoute, func(p *play) { p.judge.recovered(1, 2) }},
	} {
		is := is.New(t)
		is.Equal(newPlay(c.route).tell(), nil) // sound without the fault
		p := newPlay(c.route)
		c.plant(p)
		found := p.tell()
		if found == nil || found.Promise != c.promise {
			t.Errorf("%s: found %v", c.promise, found)
		}
	}
}

// shortSeeds are the seeds of the short run. Seeds that failed are added with a line on
// the cause.
var shortSeeds = []uint64{1, 2}

func TestShortSoak(t *testing.T) {
	program := buildRouter(t)
	for _, seed := range shortSeeds {
		c := testConfig(seed)
		c.Program, c.Dir, c.Length = program, t.TempDir(), 6*time.Second
		report, err := Run(c, nil)
		if err != nil {
			t.Fatal(err)
		}
		if report.Violation != nil || report.Counts["runs"] == 0 {
			t.Error(report)
		}
	}
}

func buildRouter(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "chiveseam-edge")
	build := exec.Command("go", "build", "-o", program, "./cmd/chiveseam-edge")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if _, err := os.Stat(program); err != nil {
		t.Fatal(err)
	}
	return program
}
