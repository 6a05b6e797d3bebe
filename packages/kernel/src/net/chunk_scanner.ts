const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const HEX = 16;

/** What comes next in a chunked body. */
const Part = {
  /** The digits of a chunk's size. */
  SIZE: 'size',
  /** The rest of the line with the size. */
  EXTENSION: 'extension',
  DATA: 'data',
  /** The line break behind the data. */
  DATA_END: 'data end',
} as const;
type Part = (typeof Part)[keyof typeof Part];

interface ScannedChunks {
  /** Offset behind the last byte that was scanned. */
  readonly end: number;
  /** Number of chunks that began. */
  readonly chunkCount: number;
  /** Whether the last chunk was scanned; what follows are the trailers. */
  readonly isLast: boolean;
}

/** Follows the chunks of a body in bytes that arrive in parts, without a look at their data. */
export class ChunkScanner {
  private part: Part = Part.SIZE;
  private size = 0;
  private dataLeft = 0;

  /** Scans up to the end of the bytes or of the last chunk, or until a number of chunks has begun. */
  scan(bytes: Buffer, maxChunks: number): ScannedChunks {
    let end = 0;
    let chunkCount = 0;
    while (end < bytes.length && chunkCount < maxChunks) {
      if (this.part === Part.DATA) {
        end += this.skipData(bytes.length - end);
        continue;
      }
      const byte = bytes[end];
      end += 1;
      if (byte !== LINE_FEED) this.takeLineByte(byte);
      else if (this.part === Part.DATA_END) this.part = Part.SIZE;
      else if (this.size === 0) return {end, chunkCount, isLast: true};
      else {
        chunkCount += 1;
        this.beginData();
      }
    }
    return {end, chunkCount, isLast: false};
  }

  private skipData(available: number): number {
    const skipped = Math.min(this.dataLeft, available);
    this.dataLeft -= skipped;
    if (this.dataLeft === 0) this.part = Part.DATA_END;
    return skipped;
  }

  private takeLineByte(byte: number): void {
    if (this.part !== Part.SIZE || byte === CARRIAGE_RETURN) return;
    const digit = Number.parseInt(String.fromCharCode(byte), HEX);
    // Anything but a digit ends the size; whether it is allowed is for the parser to say.
    if (Number.isNaN(digit)) this.part = Part.EXTENSION;
    else this.size = this.size * HEX + digit;
  }

  private beginData(): void {
    this.part = Part.DATA;
    this.dataLeft = this.size;
    this.size = 0;
  }
}
