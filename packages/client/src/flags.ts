/** The parsed options of the command line. */
export interface Flags {
  readonly address: string;
  readonly key: string;
  readonly json: boolean;
  readonly yes: boolean;
  readonly out?: string;
  readonly workspace?: string;
  readonly task?: string;
  readonly to?: string;
  readonly host?: string;
  readonly runner?: string;
  readonly place?: string;
  readonly cost?: number;
  readonly strength?: number;
  readonly steps?: string;
  readonly exposure?: number;
  readonly rate?: number;
  readonly burst?: number;
  /** File with the configuration that `check` checks. */
  readonly configuration?: string;
  /** File with the configuration in force. */
  readonly inForce?: string;
  /** Whether `check` fails on warnings too. */
  readonly strict: boolean;
  readonly forbid: boolean;
  readonly none: boolean;
  /** Seconds after which `watch` gives up. */
  readonly timeout: number;
}
