import type {Place} from './place.js';
import type {ServiceDefinition} from './service_definition.js';
import type {IntentVerdict} from './intent_verdict.js';
import type {Version} from './version.js';
import type {Workspace} from './workspace.js';

/**
 * The whole configuration as of one offset of the log. Plain data: it is hashed,
 * stored in snapshots and sent to peers unchanged.
 */
export interface Configuration {
  /** Offset of the last folded record; -1 before the first. */
  readonly offset: number;
  readonly versions: Readonly<Record<string, Version>>;
  readonly workspaces: Readonly<Record<string, Workspace>>;
  readonly services: Readonly<Record<string, ServiceDefinition>>;
  readonly places: Readonly<Record<string, Place>>;
  /** Drained hosts and runners, as `host/<id>` and `runner/<id>`. */
  readonly drained: Readonly<Record<string, true>>;
  /** The offset at which each object last changed, by object key. */
  readonly revisions: Readonly<Record<string, number>>;
  /** The latest verdicts, oldest first; their number is bounded. */
  readonly verdicts: readonly IntentVerdict[];
}
