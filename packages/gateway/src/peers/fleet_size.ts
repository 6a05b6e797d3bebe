import type {Clock} from '@bayspool/kernel';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {HostDirectory} from './host_directory.js';
import {hostKey} from './host_key.js';

interface Options {
  /** Clock of the mirror's freshness. */
  readonly clock: Clock;
  /** The mirror of the topic in which hosts are registered. */
  readonly mirror: TopicMirror;
  readonly hostDirectory: HostDirectory;
}

/** What this host knows of how many hosts there are. */
export class FleetSize {
  private readonly registeredNames = new Set<string>();

  constructor(private readonly options: Options) {
    options.mirror.onUpdate(({changed}) => {
      for (const {key, value} of changed)
        if (hostKey.matches(key)) this.recordEntry(key, value !== undefined);
    });
  }

  /** Number of hosts in the registry; undefined while this process has not loaded it. */
  get registered(): number | undefined {
    if (!this.options.mirror.isLoaded) return undefined;
    return this.registeredNames.size;
  }

  /** Number of hosts heard of since the start, by their entries or by their own requests, including this one. */
  get heardOf(): number {
    return this.options.hostDirectory.peakLiveCount;
  }

  /** Time since the loaded registry was known to be complete, in ms; undefined while it is not loaded. */
  get registryAgeMs(): number | undefined {
    const {clock, mirror} = this.options;
    return mirror.isLoaded ? clock.now() - mirror.freshAsOf : undefined;
  }

  private recordEntry(key: string, exists: boolean): void {
    if (exists) this.registeredNames.add(key);
    else this.registeredNames.delete(key);
  }
}
