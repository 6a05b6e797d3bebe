const MIN_CAPACITY = 1_024;
const EMPTY = Buffer.alloc(0);

/** Bytes of a connection that have been read and not been parsed. */
export class UnparsedBytes {
  /** Holds the bytes from `start` to `end`. */
  private buffer: Buffer = EMPTY;
  private start = 0;
  private end = 0;

  get length(): number {
    return this.end - this.start;
  }

  /** The bytes, valid until the next change. */
  get view(): Buffer {
    return this.slice(this.start, this.end);
  }

  append(chunk: Buffer): void {
    if (this.length === 0) return this.replace(chunk);
    const {length} = this;
    const needed = length + chunk.length;
    if (this.end + chunk.length > this.buffer.length) this.grow(needed);
    chunk.copy(this.buffer, this.end);
    this.end += chunk.length;
  }

  /** Removes bytes from the begin. @returns these */
  take(count: number): Buffer {
    const taken = this.slice(this.start, this.start + count);
    this.start += count;
    if (this.length === 0) this.clear();
    return taken;
  }

  clear(): void {
    this.replace(EMPTY);
  }

  /** Most reads are a whole message: that is returned as it is. */
  private slice(start: number, end: number): Buffer {
    const {buffer} = this;
    const isWhole = start === 0 && end === buffer.length;
    return isWhole ? buffer : buffer.subarray(start, end);
  }

  private replace(buffer: Buffer): void {
    this.buffer = buffer;
    this.start = 0;
    this.end = buffer.length;
  }

  /** Copies the bytes to a larger buffer of their own: parts that were taken from the old one may still be in use. */
  private grow(needed: number): void {
    const {view} = this;
    const capacity = Math.max(MIN_CAPACITY, 2 * needed);
    const larger = Buffer.allocUnsafeSlow(capacity);
    view.copy(larger);
    this.buffer = larger;
    this.start = 0;
    this.end = view.length;
  }
}
