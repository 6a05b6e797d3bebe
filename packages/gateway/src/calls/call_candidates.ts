import {getOwn} from '@bayspool/kernel';
import type {RunnerDirectory} from '../discovery/runner_directory.js';
import type {Runner} from '../runners/runner.js';
import type {IncomingCall} from './incoming_call.js';

interface Options {
  readonly directory: RunnerDirectory;
  /** Region of each place; a place without an entry is in no region. */
  readonly regionOf: Readonly<Record<string, string>>;
}

/**
 * Finds the runners that may take a call, regardless of their load. No attempt leaves the regions
 * allowed for the call's data.
 */
export class CallCandidates {
  constructor(private readonly options: Options) {}

  /** Returns the runners of the call's service that accept calls and are in an allowed region. */
  listFor({service, regions}: IncomingCall): readonly Runner[] {
    const {directory, regionOf} = this.options;
    const runners = directory.listAcceptingCalls(service);
    if (!regions) return runners;
    return runners.filter(({entry}) => {
      const region = getOwn(regionOf, entry.place);
      return region !== undefined && regions.includes(region);
    });
  }

  /** Explains why a call has no candidate. */
  explainNone({service, regions}: IncomingCall): string {
    const isRestricted = regions !== undefined;
    const hasRunners =
      this.options.directory.listAcceptingCalls(service).length > 0;
    return isRestricted && hasRunners
      ? 'no runner in an allowed region'
      : 'no runner';
  }
}
