import {
  findEligibleVersions,
  pickVersions,
  type CascadePolicy,
  type Membership,
  type Version,
} from '@bayspool/decisions';
import {
  Problem,
  ProblemKind,
  type Clock,
  type RandomSource,
} from '@bayspool/kernel';
import type {ConfigurationStore} from '../../configuration/configuration_store.js';
import type {StalenessGuard} from '../../configuration/staleness_guard.js';
import type {VersionRatingTracker} from '../../ratings/version_rating_tracker.js';
import type {RatingCollector} from '../../ratings/rating_collector.js';
import type {RunnerPool} from '../../runners/runner_pool.js';
import type {CompletionRequest} from './completion_request.js';
import type {CompletionTimeEstimator} from './completion_time_estimator.js';
import type {CascadeLeg} from './cascade_leg.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly stalenessGuard: StalenessGuard;
  readonly pool: RunnerPool;
  readonly cascadePolicy: CascadePolicy;
  readonly completionTimes: CompletionTimeEstimator;
  readonly ratingCollector: RatingCollector;
  readonly ratingTracker: VersionRatingTracker;
  /** How long an answer is held back for its rating, in ms. */
  readonly ratingWaitMs: number;
}

/** Chooses the versions that try a request, and their order. */
export class CascadePlanner {
  constructor(private readonly options: Options) {}

  /** Plans at least one leg; throws a problem if no version may serve the request. */
  plan(request: CompletionRequest): CascadeLeg[] {
    return this.chooseVersions(request).map((version, index) =>
      createLeg(version, request.id, index),
    );
  }

  private chooseVersions(request: CompletionRequest): readonly Version[] {
    const {
      store,
      stalenessGuard,
      membership,
      random,
      ratingTracker,
      cascadePolicy,
      clock,
    } = this.options;
    const eligible = findEligibleVersions(store.current, {
      workspace: request.workspace.id,
      task: request.taskName,
      selector: request.selector,
      session: request.session,
      stale: stalenessGuard.isStale(),
      suspects: membership.collectSuspects(),
    });
    const versions = eligible.caseOf({
      Left: problem => {
        throw problem;
      },
      Right: found => found,
    });
    if (request.session) return versions;
    const picked = pickVersions(versions, {
      random,
      hasExposureBudget: version => ratingTracker.hasExposureBudget(version),
      isLoaded: version => this.options.pool.canServe(version.id),
    });
    if (picked.length === 0) throw createExposureExhaustedProblem();
    const now = clock.now();
    const candidates = picked.map(version => ({
      version,
      estimate: this.options.ratingCollector.getEstimate(
        request.workspace.id,
        request.taskName,
        version.id,
      ),
      expectedMs: this.options.completionTimes.estimateMs(version.id),
    }));
    return cascadePolicy.plan(candidates, {
      quality: request.task.quality,
      remainingMs: request.deadlineAt - now,
      ratingWaitMs: this.options.ratingWaitMs,
      canHoldAnswer: !request.stream,
      now,
    }).legs;
  }
}

function createLeg(
  version: Version,
  requestId: string,
  index: number,
): CascadeLeg {
  const ratingId = index === 0 ? requestId : `${requestId}.${index}`;
  return {
    version,
    ratingId,
    text: '',
    tokens: 0,
    usage: undefined,
    mayHaveRun: false,
  };
}

function createExposureExhaustedProblem(): Problem {
  return new Problem({
    kind: ProblemKind.NO_RUNNER,
    what: 'the only version left is rolling out and has its share of unrated answers out',
    remedy: 'come back after the time in Retry-After',
    retryAfterMs: 2_000,
  });
}
