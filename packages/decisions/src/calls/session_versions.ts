import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** How long a session's version is kept after its last call, in ms. */
  readonly retentionMs: number;
}

interface VersionPin {
  version: string;
  lastAt: number;
}

/** Maximum number of sessions; the least recently used are evicted. */
const MAX_SESSIONS = 20_000;
/**
 * Retention over that of the platform, because a session lasts longer than to the start of its last
 * call.
 */
const RETENTION_FACTOR = 2;

/** Remembers which version served each session last. */
export class SessionVersions {
  private readonly pins = new Map<string, VersionPin>();

  constructor(private readonly options: Options) {}

  /** The version of the session, if it had a call recently. */
  get(session: string): string | undefined {
    const pin = this.pins.get(session);
    if (!pin) return undefined;
    const {clock, retentionMs} = this.options;
    if (clock.now() - pin.lastAt <= retentionMs * RETENTION_FACTOR)
      return pin.version;
    this.pins.delete(session);
    return undefined;
  }

  /** Records that a call of the session runs, or has just ended, on a version. */
  set(session: string, version: string): void {
    this.pins.delete(session);
    this.pins.set(session, {version, lastAt: this.options.clock.now()});
    if (this.pins.size <= MAX_SESSIONS) return;
    const [oldest] = this.pins.keys();
    this.pins.delete(oldest);
  }
}
