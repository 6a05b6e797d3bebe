import type {FindingKind} from './finding_kind.js';
import type {FindingSeverity} from './finding_severity.js';

/** One result of the checks of a configuration. */
export interface ConfigurationFinding {
  readonly kind: FindingKind;
  readonly severity: FindingSeverity;
  /** The entry, such as `route "search"`, or the path of a field. */
  readonly subject: string;
  /** What is wrong, and the remedy. Contains no API key. */
  readonly message: string;
}
