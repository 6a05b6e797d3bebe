import type {Socket} from 'node:net';

interface Options {
  readonly socket: Socket;
  /** Called when the response has too many bytes besides its body. */
  readonly onExceeded: () => void;
}

/**
 * Maximum number of bytes of a response besides its body, in bytes: interim responses, status line, header section and
 * trailers. The parser limits most of these, but neither the number of interim responses, nor white space, nor
 * the digits of a chunk size. The value exceeds what the buffers of a paused response hold, because body bytes in them
 * are not counted as such yet.
 */
const MAX_FRAMING_BYTES = 262_144;
/** Further bytes per byte of the body: the framing of a chunk of one byte takes five, and some may be added. */
const FRAMING_PER_BODY_BYTE = 8;

/** Limits the bytes that one response takes besides its body. */
export class FramingGuard {
  private framingBytes = 0;
  private readonly countBytes = (chunk: Buffer) => {
    // The body bytes of the previous chunk have been recorded by now, those of this one have not.
    if (this.framingBytes > MAX_FRAMING_BYTES) this.options.onExceeded();
    else this.framingBytes += chunk.length;
  };

  constructor(private readonly options: Options) {}

  /** Starts counting for a new response. */
  start(): void {
    this.framingBytes = 0;
    this.options.socket.on('data', this.countBytes);
  }

  /** Records bytes of the body. */
  recordBody(bytes: number): void {
    const rest = this.framingBytes - bytes * (1 + FRAMING_PER_BODY_BYTE);
    this.framingBytes = Math.max(0, rest);
  }

  /** Stops counting, when the response has ended. */
  stop(): void {
    this.options.socket.off('data', this.countBytes);
  }
}
