import type {Clock} from '@bayspool/kernel';
import type {Runner} from '../runners/runner.js';
import type {RunnerChoice} from '../runners/runner_choice.js';
import type {Attempt} from './attempt.js';
import type {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptRunner} from './attempt_runner.js';
import type {CallerResponse} from './caller_response.js';
import type {CallProgress} from './call_progress.js';
import {RunEnd} from './run_end.js';
import type {SuccessorPolicy} from './successor_policy.js';
import type {SuccessorRefusal} from './successor_refusal.js';

interface Options {
  readonly clock: Clock;
  readonly attempts: AttemptRunner;
  readonly policy: SuccessorPolicy;
  readonly progress: CallProgress;
  readonly caller: CallerResponse;
  /** Aborted if the call ends; the reason is a short text. */
  readonly signal: AbortSignal;
  /** Whether a response of the call's model with this confidence is used. */
  readonly acceptsConfidence: (confidence: number | undefined) => boolean;
}

/** A run under way. */
interface Run {
  readonly attempt: Attempt;
  readonly number: number;
  readonly runner: Runner;
  /** Whether it was started beside another one. */
  readonly isSuccessor: boolean;
  /** Why its silence had no consequence at the last check, so that each change is logged once. */
  lastRefusal?: SuccessorRefusal;
}

interface EndedRun {
  readonly runner: Runner;
  readonly outcome: AttemptOutcome;
}

/** Time between two tries to start a further run, or to replace one that has no connection, in ms. */
const SUCCESSOR_INTERVAL_MS = 200;

/**
 * Runs a call at one runner, and beside it at others while that one is silent, until one of the runs delivers. A run is
 * ended only when another one delivers; see docs/design/ending-runs.md.
 */
export class RunSuccession {
  /** The runs that may deliver, the latest one last. */
  private runs: readonly Run[] = [];
  /** Number of runs that have not ended, those included that were told to end. */
  private unendedCount = 0;
  private result: EndedRun | undefined;
  private resolve: (result: EndedRun) => void = () => undefined;
  private reject: (error: unknown) => void = () => undefined;
  /** When a further run may be tried, on this host's clock. */
  private nextTryAt = -Infinity;

  constructor(private readonly options: Options) {}

  /** Starts the first run. @returns the run that answered the call, or else the one that ended last */
  run(choice: RunnerChoice): Promise<EndedRun> {
    return new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
      this.start(choice);
    });
  }

  private start(choice: RunnerChoice): void {
    const {attempts, progress, caller, signal, acceptsConfidence} =
      this.options;
    const started = attempts.start({
      progress,
      choice,
      caller,
      signal,
      // A response that is late already is used, whatever its confidence.
      acceptsConfidence: confidence =>
        this.runs.length > 1 || acceptsConfidence(confidence),
      onSilent: () => this.handleSilence(run),
      claimDelivery: () => this.claimDelivery(run),
    });
    const {attempt, number, runner} = started;
    const isSuccessor = this.runs.length > 0;
    const run: Run = {attempt, number, runner, isSuccessor};
    this.runs = [...this.runs, run];
    this.unendedCount += 1;
    started.ended.then(outcome => this.handleEnd(run, outcome), this.reject);
  }

  /** Lets a run deliver, and ends the others; false if it has been ended itself. */
  private claimDelivery(run: Run): boolean {
    const {attempts, progress} = this.options;
    const index = this.runs.indexOf(run);
    if (index < 0) return false;
    progress.removeSilentRunner(run.runner);
    if (run.isSuccessor) attempts.recordDelivery(progress, run.runner);
    progress.startedByVersion ??= run.runner.entry.version;
    const earlier = this.runs.slice(0, index);
    const later = this.runs.slice(index + 1);
    this.runs = [run];
    for (const {attempt} of earlier) attempt.end(RunEnd.SILENT);
    for (const {attempt} of later) attempt.end(RunEnd.SUPERSEDED);
    return true;
  }

  private handleEnd(run: Run, outcome: AttemptOutcome): void {
    const {clock, progress} = this.options;
    const {runner} = run;
    progress.recordOutcome(runner, outcome);
    this.unendedCount -= 1;
    if (this.runs.includes(run)) {
      this.runs = this.runs.filter(other => other !== run);
      this.result = {runner, outcome};
      this.nextTryAt = clock.now() + SUCCESSOR_INTERVAL_MS;
    }
    if (this.unendedCount === 0) this.resolve(this.result!);
  }

  /** Tries to start a run beside the latest one, whose runner is silent. */
  private handleSilence(run: Run): void {
    const {clock, policy, progress} = this.options;
    const {attempt, runner} = run;
    const isLatest = this.runs[this.runs.length - 1] === run;
    if (!isLatest || clock.now() < this.nextTryAt) return;
    this.nextTryAt = clock.now() + SUCCESSOR_INTERVAL_MS;
    if (attempt.isAdmitted) return this.startSuccessor(run);
    if (policy.canReplaceUnsent(progress, runner)) attempt.end(RunEnd.SILENT);
  }

  private startSuccessor(run: Run): void {
    const {policy, progress, caller} = this.options;
    const {attempt, number, runner} = run;
    const {silentMs} = attempt;
    const {hasStarted} = caller;
    const silentRun = {progress, runner, attempt: number, silentMs, hasStarted};
    const decision = policy.decide(silentRun);
    if (decision.refusal === undefined || decision.refusal !== run.lastRefusal)
      policy.record(silentRun, decision);
    run.lastRefusal = decision.refusal;
    if (decision.isRelayed) this.endAll();
    if (decision.choice) this.start(decision.choice);
  }

  private endAll(): void {
    for (const {attempt} of this.runs) attempt.end(RunEnd.SILENT);
  }
}
