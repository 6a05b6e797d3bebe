import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
  /** Time after a session's last call for which its version is kept, in ms. */
  readonly retentionMs: number;
}

interface VersionPin {
  version: string;
  lastAt: number;
}

/** Sessions that are remembered at most; the oldest give way. */
const MAX_SESSIONS = 20_000;
/** The kept time over the platform's, because a session ends later than its last call starts. */
const RETENTION_FACTOR = 2;

/** Which version each session was served by last. */
export class SessionVersions {
  private readonly pins = new Map<string, VersionPin>();

  constructor(private readonly options: Options) {}

  /** The version of the session's calls, if one ran a short time ago. */
  get(session: string): string | undefined {
    const pin = this.pins.get(session);
    if (!pin) return undefined;
    const {clock, retentionMs: keepMs} = this.options;
    if (clock.now() - pin.lastAt <= keepMs * RETENTION_FACTOR)
      return pin.version;
    this.pins.delete(session);
    return undefined;
  }

  /** Notes that a call of the session runs, or just ended, on a version. */
  set(session: string, version: string): void {
    this.pins.delete(session);
    this.pins.set(session, {version, lastAt: this.options.clock.now()});
    if (this.pins.size <= MAX_SESSIONS) return;
    const [oldest] = this.pins.keys();
    this.pins.delete(oldest);
  }
}
