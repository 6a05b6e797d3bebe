/** Chunks up to this size are copied into a block, in bytes: the objects of many small chunks take more memory than their bytes. */
const SMALL_CHUNK_BYTES = 1_024;
/** Size of a block, in bytes; the first block of a collector is smaller, since most collect little. */
const BLOCK_BYTES = 16_384;
const FIRST_BLOCK_BYTES = 2_048;

/** Collects chunks of bytes, in memory proportional to their sum, however small they are. */
export class ByteCollector {
  private parts: Buffer[] = [];
  private size = 0;
  private block: Buffer | undefined;
  private blockUsed = 0;

  /** Sum of the sizes of all chunks. */
  get length(): number {
    return this.size;
  }

  /** Adds a chunk after all others. */
  add(chunk: Buffer): void {
    this.size += chunk.length;
    if (chunk.length <= SMALL_CHUNK_BYTES) return this.copy(chunk);
    this.closeBlock();
    this.parts.push(chunk);
  }

  /** Returns all bytes as one buffer, and is empty afterwards. */
  take(): Buffer {
    this.closeBlock();
    const {parts} = this;
    this.parts = [];
    this.size = 0;
    return parts.length === 1 ? parts[0] : Buffer.concat(parts);
  }

  private copy(chunk: Buffer): void {
    if (this.block && this.blockUsed + chunk.length > this.block.length)
      this.closeBlock();
    this.block ??= Buffer.allocUnsafeSlow(
      this.parts.length === 0 ? FIRST_BLOCK_BYTES : BLOCK_BYTES,
    );
    chunk.copy(this.block, this.blockUsed);
    this.blockUsed += chunk.length;
  }

  private closeBlock(): void {
    if (!this.block) return;
    this.parts.push(this.block.subarray(0, this.blockUsed));
    this.block = undefined;
    this.blockUsed = 0;
  }
}
