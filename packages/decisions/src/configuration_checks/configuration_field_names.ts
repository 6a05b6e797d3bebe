import type {CallLimits} from '../calls/call_limits.js';
import type {CallRoute} from '../calls/call_route.js';
import type {CallService} from '../calls/call_service.js';
import type {EngineProfile} from '../calls/engine_profile.js';
import type {DeclaredWorkspace} from './declared_workspace.js';

type NamesOf<T> = Readonly<Record<keyof T, string>>;

/** What the platform calls the fields of a configuration in its files. */
export interface ConfigurationFieldNames {
  readonly version: string;
  readonly route: NamesOf<Omit<CallRoute, 'name'>>;
  readonly service: NamesOf<Omit<CallService, 'name' | 'engine'>>;
  readonly engine: NamesOf<EngineProfile>;
  readonly limits: NamesOf<CallLimits>;
  readonly workspace: NamesOf<Omit<DeclaredWorkspace, 'name'>>;
  /** The list of workspaces; callers need keys only if there is one. */
  readonly workspaces: string;
}
