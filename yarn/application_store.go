// Reading, writing and ending of applications in the key-value store, and the native jobs that
// run their containers.

package yarn

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// Key prefixes. Records of unfinished applications have jobstore.AppPrefix.
const (
	finalPrefix   = "yf/" // records of ended applications
	contextPrefix = "yx/" // launch contexts
)

// snapshot is the record of an application with its unfinished jobs, read at the same time.
type snapshot struct {
	app    *application
	record jobstore.AppRecord
	jobs   []jobstore.ReservedJob
	final  bool // whether the record has finalPrefix; then there are no unfinished jobs
}

// ended reports whether the application has ended or its EndState is set.
func (s *snapshot) ended() bool { return s.final || s.app.EndState != "" }

// readApplication reads an application and its unfinished jobs. The result includes all changes
// that were committed before the call. If there is no such application, the error has ClassNoApp.
func (f *Frontend) readApplication(ctx context.Context, id *pb.ApplicationIdProto) (*snapshot, error) {
	name := applicationNameOf(id)
	record, jobs, err := f.jobs.OwnedJobs(ctx, applicationKey(name))
	if err != nil {
		return nil, err
	}
	var app application
	if record.Version != 0 {
		if err := nwire.Unmarshal(record.Value, &app); err != nil {
			return nil, err
		}
		return &snapshot{app: &app, record: record, jobs: jobs}, nil
	}
	// A record moves to finalPrefix in one transaction and never moves back. So this read finds a
	// record that has moved since the first read.
	final, err := f.store.Get(ctx, finalPrefix+name)
	if err != nil {
		return nil, err
	}
	if final.Version == 0 {
		return nil, wire.Errorf(wire.ClassNoApp, "Application with id '%s' doesn't exist", name)
	}
	if err := nwire.Unmarshal(final.Value, &app); err != nil {
		return nil, err
	}
	return &snapshot{app: &app, record: record, final: true}, nil
}

// maxTextShare bounds each text in an application's record that a client may choose at its end, such as a
// stack trace, to 1/maxTextShare of a value. A record that is too large is rejected by the store each time,
// so that the application would never end.
const maxTextShare = 4

// truncateText returns the beginning of a text that takes at most maxBytes as JSON.
func truncateText(text string, maxBytes int) string {
	if nwire.JSONTextSize(text) <= maxBytes {
		return text
	}
	left := maxBytes - nwire.JSONTextSize("")
	for i, r := range text {
		if left -= nwire.JSONTextSize(string(r)) - nwire.JSONTextSize(""); left < 0 {
			return text[:i]
		}
	}
	return text
}

// writeApplication replaces an application's record. It truncates texts that clients may choose. It fails
// with a kvstore.ConflictError if the record has changed since snap was read.
func (f *Frontend) writeApplication(ctx context.Context, snap *snapshot) error {
	snap.app.Diagnostics = truncateText(snap.app.Diagnostics, f.limits.ValueBytes/maxTextShare)
	snap.app.TrackingURL = truncateText(snap.app.TrackingURL, f.limits.ValueBytes/maxTextShare)
	version, err := f.store.CompareAndSwap(ctx,
		[]nwire.Guard{{Key: snap.record.Key, Version: snap.record.Version}}, []nwire.Op{{Put: snap.record.Key, Value: *snap.app}})
	if err == nil {
		snap.record.Version = version
	}
	return err
}

// endApplication commits the EndState of an application together with the changes that change
// makes. It does nothing if the application has ended already. Then it tries to finalize the
// application. A failure to finalize is not an error, since the leader finalizes it later.
func (f *Frontend) endApplication(ctx context.Context, id *pb.ApplicationIdProto, state applicationState, change func(app *application)) error {
	var snap *snapshot
	err := retry(ctx, func() error {
		var err error
		if snap, err = f.readApplication(ctx, id); err != nil || snap.ended() {
			return err
		}
		snap.app.EndState, snap.app.FinishedMs = state, time.Now().UnixMilli()
		change(snap.app)
		return f.writeApplication(ctx, snap)
	})
	if err != nil {
		return err
	}
	if err := f.finalize(ctx, id); err != nil {
		f.log.Debug("yarn: application not finalized yet", "app", snap.app.name(), "err", err)
	}
	return nil
}

// finalize cancels the jobs of an application whose EndState is set, deletes its launch contexts
// and moves its record to finalPrefix. The record moves last: as long as it has
// jobstore.AppPrefix, the leader finds it and repeats an interrupted finalize. finalize is
// idempotent, and any controller may call it.
func (f *Frontend) finalize(ctx context.Context, id *pb.ApplicationIdProto) error {
	snap, err := f.readApplication(ctx, id)
	if err != nil || snap.final || snap.app.EndState == "" {
		return err
	}
	if err := f.cancelJobs(ctx, snap.jobs); err != nil {
		return err
	}
	// snap.jobs includes all unfinished jobs. A reservation fails if the application's record has
	// changed, so no job is reserved after EndState is set. No launch context is written later
	// either, since each write requires that its job is unfinished.
	app := snap.app
	if err := f.deleteContexts(ctx, app); err != nil {
		return err
	}
	app.State = app.EndState
	_, err = f.store.CompareAndSwap(ctx, []nwire.Guard{{Key: snap.record.Key, Version: snap.record.Version}},
		[]nwire.Op{{Delete: snap.record.Key}, {Put: finalPrefix + app.name(), Value: *app}})
	if err != nil {
		return err
	}
	f.mu.Lock()
	delete(f.sessions, app.name())
	f.mu.Unlock()
	f.log.Info("yarn: application over", "app", app.name(), "state", app.State, "why", app.Diagnostics)
	return nil
}

func (f *Frontend) cancelJobs(ctx context.Context, jobs []jobstore.ReservedJob) error {
	for _, j := range jobs {
		if _, _, err := f.jobs.Cancel(ctx, j.ID); err != nil {
			return err
		}
	}
	return nil
}

// deleteContexts deletes the launch contexts of an application. All its jobs must have finished.
func (f *Frontend) deleteContexts(ctx context.Context, app *application) error {
	entries, _, err := f.store.List(ctx, contextPrefix+app.name()+"/")
	if err != nil {
		return err
	}
	for len(entries) > 0 {
		n := min(len(entries), f.limits.TxnOps)
		var ops []nwire.Op
		for _, e := range entries[:n] {
			ops = append(ops, nwire.Op{Delete: e.Key})
		}
		if _, err := f.store.CompareAndSwap(ctx, nil, ops); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

// defaultJobClass is the class of jobs whose queue has no class.
const defaultJobClass = "yarn"

// neverCheckpointS is a checkpoint interval in seconds, longer than any container runs.
const neverCheckpointS = 1e6

// nativeJob returns the native job that runs containers of one kind, one container per task. It
// fails if the queue or the node label is unknown.
func (f *Frontend) nativeJob(app *application, r *containerRequest, tasks int) (nwire.Job, error) {
	queue, ok := f.settings.queue(app.Queue)
	if !ok {
		return nwire.Job{}, wire.Errorf(wire.ClassYarn, "there is no queue %q", app.Queue)
	}
	label, ok := f.settings.label(r.NodeLabel)
	if !ok {
		return nwire.Job{}, wire.Errorf(wire.ClassBadRequest, "Invalid resource request, node label %q is not known", r.NodeLabel)
	}
	j := nwire.Job{
		ID:        jobID(app.ID, app.NextJobSeq),
		Class:     queue.Class,
		Team:      queue.Team,
		Kind:      nwire.KindArray,
		Priority:  f.settings.nativePriority(int(app.Priority)),
		Tasks:     tasks,
		CPUs:      float64(r.VCores),
		GPUs:      float64(r.GPUs),
		MemoryGB:  float64(r.MemoryMB) / mbPerGB,
		Image:     f.settings.Image,
		ImageGB:   f.settings.ImageGB,
		Types:     label.Types,
		Zone:      label.Zone,
		Spot:      label.Spot,
		EstimateS: f.settings.EstimateS,
	}
	if j.Class == "" {
		j.Class = defaultJobClass
	}
	if f.settings.PreemptGraceS > 0 {
		// A preempted task gets SaveS seconds to save a checkpoint. Containers save no checkpoints,
		// since each runs once. For them the time is the grace period after the preemption message.
		j.CheckpointS, j.SaveS = neverCheckpointS, f.settings.PreemptGraceS
	}
	return j, nil
}

// feasibleJob returns the native job for a request. It fails if the job can never run.
func (f *Frontend) feasibleJob(app *application, r *containerRequest, tasks int) (nwire.Job, error) {
	j, err := f.nativeJob(app, r, tasks)
	if err != nil {
		return nwire.Job{}, err
	}
	if status, err := f.controller.CheckFeasible(&j); err != nil {
		return nwire.Job{}, refusal(status, err)
	}
	return j, nil
}

// refusal converts the HTTP status and error of a refused native job to an error of YARN's API
// with the same text.
func refusal(status int, err error) error {
	if status == http.StatusServiceUnavailable {
		return wire.Errorf(wire.ClassRetriable, "%v", err)
	}
	return wire.Errorf(wire.ClassBadRequest, "%v", err)
}

// reserve commits a new job of an application and returns its id. The same transaction writes the
// record of the application with the next NextJobSeq. It fails with a kvstore.ConflictError if
// the record has changed since snap was read.
func (f *Frontend) reserve(ctx context.Context, snap *snapshot, r *containerRequest, tasks int, reservation jobstore.Reservation) (string, error) {
	j, err := f.feasibleJob(snap.app, r, tasks)
	if err != nil {
		return "", err
	}
	reservation.Owner, reservation.OnlyMachines = snap.app.key(), append(reservation.OnlyMachines, r.OnlyMachines...)
	snap.app.NextJobSeq++
	version, known, err := f.jobs.Reserve(ctx, j, time.Now().UnixMilli(), reservation, snap.record, *snap.app)
	if err != nil {
		return "", err
	}
	if known {
		return "", fmt.Errorf("yarn: job %s exists already", j.ID)
	}
	snap.record.Version = version
	return j.ID, nil
}
