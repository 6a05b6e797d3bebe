import type {CallConfiguration} from '../calls/call_configuration.js';
import type {DeclaredWorkspace} from './declared_workspace.js';

/** A configuration, with the lists of its file in which a name or a key may occur twice. */
export interface DeclaredConfiguration {
  readonly configuration: CallConfiguration;
  readonly serviceNames: readonly string[];
  /** Undefined if callers need no keys. */
  readonly workspaces?: readonly DeclaredWorkspace[];
}
