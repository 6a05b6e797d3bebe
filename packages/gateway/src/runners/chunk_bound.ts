import type {Clock} from '@bayspool/kernel';

interface Options {
  readonly clock: Clock;
}

/** Chunks that a response may have at once, whatever their size. */
const MAX_SMALL_CHUNKS = 2_048;
/** Further chunks per ms since the request was sent: more small ones than any model makes events. */
const CHUNKS_PER_MS = 1.5;
/** A chunk of this size costs more by its bytes than by its number, in bytes. */
const SMALL_CHUNK_BYTES = 32;

/** Limits the number of chunks of one response: each costs processor time and an object, however few bytes it has. */
export class ChunkBound {
  private startedAt = 0;
  private chunks = 0;
  private bytes = 0;

  constructor(private readonly options: Options) {}

  /** Whether the response has more chunks than a sound one of its size and age. */
  get isExceeded(): boolean {
    if (this.chunks <= MAX_SMALL_CHUNKS) return false;
    const ageMs = this.options.clock.now() - this.startedAt;
    const further = CHUNKS_PER_MS * ageMs + this.bytes / SMALL_CHUNK_BYTES;
    return this.chunks > MAX_SMALL_CHUNKS + further;
  }

  /** Starts counting for a new response. */
  start(): void {
    this.startedAt = this.options.clock.now();
    this.chunks = 0;
    this.bytes = 0;
  }

  /** Records a chunk of the body, of this many bytes. */
  record(bytes: number): void {
    this.chunks += 1;
    this.bytes += bytes;
  }
}
