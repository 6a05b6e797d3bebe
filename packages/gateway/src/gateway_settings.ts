/** Settings of a gateway. All durations are in ms. */
export interface GatewaySettings {
  readonly host: string;
  readonly place: string;
  /** Region of each place, by the place's name. */
  readonly regionOf: Readonly<Record<string, string>>;
  readonly ip: string;
  /** CPU and network capacity relative to other hosts; the hosts with the most read the store for their place. */
  readonly capacity: number;
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly readinessPath: string;
  readonly peerPort: number;
  /** Port for calls that other hosts relay; undefined if this host takes none. */
  readonly relayPort?: number;
  /** IP:PORT of hosts to bootstrap from before any is known from the store; often empty. */
  readonly seeds: readonly string[];
  /** Whether all hosts start for the first time now, so that seeds will soon have the state that this one needs. */
  readonly isFirstStart: boolean;
  readonly metricsPort: number;
  readonly metricsPath: string;
  /** Grace period from SIGTERM to the end of the process. */
  readonly graceMs: number;
  /** Time after which a withdrawn key must no longer be accepted. */
  readonly keyBoundMs: number;
  /**
   * Whether keys are still accepted when the configuration is older than that: callers are then served during
   * outages of the store, including those whose key was withdrawn meanwhile.
   */
  readonly honoursStaleKeys: boolean;
  /** Time after which a new configuration must be active. */
  readonly configurationBoundMs: number;
  /** Time after its last call for which a session keeps its version. */
  readonly sessionKeptMs: number;
  /** Retry budget of a service in a window, over all hosts: retries per first attempt, plus a fixed number. */
  readonly retryRatio: number;
  readonly retryExtra: number;
  readonly retryWindowMs: number;
  /** Limit on a canary's calls until the limit of its rollout: a share of the service's calls, plus a fixed number. */
  readonly exposureShare: number;
  readonly exposureCalls: number;
  /** Limit on the calls in any second to a runner in cold start: its rate times the overage, plus the slack. */
  readonly coldOverage: number;
  readonly coldSlack: number;
  /** Limit on the calls in any such window to a runner with a declared limit: the limit times the overage, plus the slack. */
  readonly limitOverage: number;
  readonly limitSlack: number;
  readonly limitWindowMs: number;
  /** Maximum of the request and response bytes that the host holds for slow readers. */
  readonly maxHeldBytes: number;
  /** Maximum of the memory of open requests that callers send ahead or whose heads are of unusual size, in bytes. */
  readonly maxRequestBytes?: number;
  /** Maximum of the bytes of all connections that were read and not parsed. */
  readonly maxUnparsedBytes?: number;
}
