import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {HostEntry} from '../peers/host_entry.js';
import {hostKey} from '../peers/host_key.js';
import type {RecordStore} from '../records/record_store.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly store: RecordStore;
  /** The mirror of the topic in which hosts are registered. */
  readonly mirror: TopicMirror;
  readonly self: HostEntry;
  /** Called once the registry has the entry; with whether this process entered it. */
  readonly onEntered: (isNew: boolean) => void;
}

/** Delay before a retry after a failed registration, in ms. */
const RETRY_DELAY_MS = 400;

/** Registers this host in the store, so that other hosts find it. */
export class HostRegistration {
  private isStopped = false;

  constructor(private readonly options: Options) {}

  /** Retries until this host is registered; after a restart an unchanged entry of the last start is kept. */
  async run(): Promise<void> {
    const {clock, log, store, self, onEntered} = this.options;
    const startedAt = clock.now();
    const key = hostKey.forName(self.name);
    const value = JSON.stringify(self);
    while (!this.isStopped) {
      const isNew = this.options.mirror.get(key)?.value !== value;
      try {
        if (isNew) await store.append({topic: Topic.HOSTS, key, value});
        const forMs = Math.round(clock.now() - startedAt);
        log.write('host_entered', {peer: self.name, isNew, forMs});
        onEntered(isNew);
        return;
      } catch (error) {
        log.write('store_write_failed', {
          entry: 'this host',
          reason: String(error),
        });
        await new Promise<void>(resolve => {
          clock.after(RETRY_DELAY_MS, resolve);
        });
      }
    }
  }

  /** Stops retrying. */
  stop(): void {
    this.isStopped = true;
  }
}
