import type {RunnerDirectory} from '../beliefs/runner_directory.js';
import type {Runner} from '../runners/runner.js';
import type {IncomingCall} from './incoming_call.js';

interface Options {
  readonly directory: RunnerDirectory;
  /** The region of each place; a place that is not named is in none. */
  readonly regionOf: Readonly<Record<string, string>>;
}

/** The runners that may take a call, whatever they have to do: its data leaves the regions allowed for it at no attempt. */
export class CallCandidates {
  constructor(private readonly options: Options) {}

  /** Runners of the call's service that take calls, in the regions in which its data may be. */
  listFor({service, regions}: IncomingCall): readonly Runner[] {
    const {directory, regionOf} = this.options;
    const takers = directory.takersOf(service);
    if (!regions) return takers;
    return takers.filter(({entry}) => regions.includes(regionOf[entry.place]));
  }

  /** Why a call has no candidate. */
  explainNone({service, regions}: IncomingCall): string {
    const isBound = regions !== undefined;
    const hasSome = this.options.directory.takersOf(service).length > 0;
    return isBound && hasSome ? 'no runner in an allowed region' : 'no runner';
  }
}
