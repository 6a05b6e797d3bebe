/** What a gateway is told at its start. All durations are in ms. */
export interface GatewaySettings {
  readonly host: string;
  readonly place: string;
  /** The region of each place, by the place's name. */
  readonly regionOf: Readonly<Record<string, string>>;
  readonly ip: string;
  /** Processor and link in relation to other hosts; the strongest read the store for their place. */
  readonly capacity: number;
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly readinessPath: string;
  readonly peerPort: number;
  /** IP:PORT at which other hosts may answer before any is known from the store; often none. */
  readonly seeds: readonly string[];
  /** Whether all hosts start for the first time now, so that seeds soon know what this one needs. */
  readonly isFirstStart: boolean;
  readonly metricsPort: number;
  readonly metricsPath: string;
  /** Time between SIGTERM and the process's end at the latest. */
  readonly graceMs: number;
  /** Time after which a withdrawn key must not be served. */
  readonly keyBoundMs: number;
  /**
   * Whether keys go on being accepted when nothing newer is known for longer than that: callers are
   * then served while the store is away, a key withdrawn meanwhile with them.
   */
  readonly honoursStaleKeys: boolean;
  /** Time after which a new configuration must be in force. */
  readonly configurationBoundMs: number;
  /** Time after a session's last call for which it keeps its version. */
  readonly sessionKeptMs: number;
  /** Repeats allowed per first attempt and besides, over all hosts, in a window. */
  readonly retryRatio: number;
  readonly retryExtra: number;
  readonly retryWindowMs: number;
  /** Part of a service's calls that a new version may get until the limit of its roll-out, and calls besides. */
  readonly exposureShare: number;
  readonly exposureCalls: number;
  /** Calls in any second that a runner which is slow from its start may get: its rate times this, and so many besides. */
  readonly coldOverage: number;
  readonly coldSlack: number;
  /** Calls in any such window that a runner which names a limit may get: the limit times this, and so many besides. */
  readonly limitOverage: number;
  readonly limitSlack: number;
  readonly limitWindowMs: number;
}
