import type {
  Configuration,
  LogFreshness,
  Membership,
} from '@bayspool/decisions';
import type {HostIdentity} from '../host/host_identity.js';
import type {RunnerPool} from '../runners/runner_pool.js';

interface Options {
  readonly identity: HostIdentity;
  readonly config: Configuration;
  readonly membership: Membership;
  readonly freshness: LogFreshness;
  readonly pool: RunnerPool;
}

/** Creates the body of `GET /status`: the fleet as this host sees it. */
export function createFleetStatus(options: Options): object {
  const {identity, config, membership, freshness, pool} = options;
  const age = freshness.computeAgeMs();
  return {
    host: identity.id,
    place: identity.place,
    offset: config.offset,
    configuration_age_ms: Number.isFinite(age) ? Math.round(age) : null,
    places: [membership.createOwnDigest(), ...membership.listDigests()].map(
      digest => ({
        place: digest.place,
        heard_ms_ago: Math.round(digest.ageMs),
        handed_over_to: config.places[digest.place]?.handedOverTo ?? null,
        running: Object.values(digest.sums.running).reduce(
          (sum, count) => sum + count,
          0,
        ),
        /** Number of hosts by the configuration offset in force there. */
        offsets: digest.sums.offsets,
        hosts: digest.hosts.map(({id, leaving}) => ({id, leaving})),
      }),
    ),
    versions: Object.values(config.versions).map(version => ({
      id: version.id,
      state: version.state,
      step: version.rollOut ? version.rollOut.step + 1 : null,
      steps: version.rollOut?.steps.length ?? null,
      suspect:
        version.suspect ??
        (membership.collectSuspects().has(version.id)
          ? 'held suspect by hosts'
          : null),
      evidence: membership.sumRatings(version.id) ?? null,
    })),
    runners: pool.listStates().map(state => ({
      id: state.backend.id,
      place: state.backend.place,
      fit: state.isHealthy(),
      drained: Boolean(config.drained[`runner/${state.backend.id}`]),
      in_flight: state.inFlight,
      load: state.load(),
      versions: state.lastReport?.versions ?? [],
    })),
  };
}
