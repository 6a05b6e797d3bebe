import {MessageSize} from './message_size.js';

interface Options {
  readonly maxBytes: number;
}

const FIRST_CAPACITY_BYTES = 4_096;

/**
 * Collects the bytes of one message up to a maximum. Chunks are copied, so that memory is proportional to the bytes,
 * however small the chunks are.
 */
export class BoundedBuffer {
  private bytes = Buffer.alloc(0);
  private size: MessageSize;

  constructor(private readonly options: Options) {
    this.size = new MessageSize(options);
  }

  get length(): number {
    return this.size.bytes;
  }

  /** Adds a chunk; throws SizeExceeded, and holds nothing any more, if the message is too large or has too many chunks. */
  append(chunk: Uint8Array): void {
    const used = this.length;
    try {
      this.size.add(chunk.length);
    } catch (error) {
      this.clear();
      throw error;
    }
    if (this.length > this.bytes.length) this.grow(used);
    this.bytes.set(chunk, used);
  }

  /** Returns all bytes, and is empty afterwards. */
  take(): Buffer {
    const taken = this.bytes.subarray(0, this.length);
    this.clear();
    return taken;
  }

  private clear(): void {
    this.bytes = Buffer.alloc(0);
    this.size = new MessageSize(this.options);
  }

  private grow(used: number): void {
    const doubled = Math.max(FIRST_CAPACITY_BYTES, this.bytes.length * 2);
    const wanted = Math.max(this.length, doubled);
    const grown = Buffer.allocUnsafeSlow(
      Math.min(this.options.maxBytes, wanted),
    );
    this.bytes.copy(grown, 0, 0, used);
    this.bytes = grown;
  }
}
