import {SizeExceeded} from './size_exceeded.js';

interface Options {
  readonly maxBytes: number;
}

/** Number of chunks that a message may have, whatever their size. */
const MAX_SMALL_CHUNKS = 16_384;
/** Further chunks are taken if all have at least this size on average, in bytes: each costs processor time. */
const MIN_MEAN_CHUNK_BYTES = 32;

/** The size of a message that is being read, which has a maximum in bytes and one in chunks. */
export class MessageSize {
  private chunkCount = 0;
  private sum = 0;

  constructor(private readonly options: Options) {}

  get bytes(): number {
    return this.sum;
  }

  /** Adds the size of a chunk, in bytes; throws {@link SizeExceeded} if the message is too large or has too many chunks. */
  add(chunkBytes: number): void {
    const {maxBytes} = this.options;
    this.sum += chunkBytes;
    this.chunkCount += 1;
    if (this.sum > maxBytes) throw new SizeExceeded(`${maxBytes} bytes`);
    const maxChunks = MAX_SMALL_CHUNKS + this.sum / MIN_MEAN_CHUNK_BYTES;
    if (this.chunkCount > maxChunks)
      throw new SizeExceeded(
        `${MAX_SMALL_CHUNKS} chunks of less than ${MIN_MEAN_CHUNK_BYTES} bytes`,
      );
  }
}
