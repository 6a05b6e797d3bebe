import type {GrowingResponse} from './growing_response.js';
import type {HeldBytes} from './held_bytes.js';

/** A source of bytes that can be paused. */
interface Source {
  pause(): unknown;
  resume(): unknown;
}

/** What one holder has of the bytes that a host holds. */
export class HeldAmount {
  private bytes = 0;
  private isReleased = false;

  constructor(private readonly ledger: HeldBytes) {}

  /** What is held, in bytes. */
  get size(): number {
    return this.bytes;
  }

  /** Notes that the amount may be given up while it grows, so that the host has room for others. */
  allowGivingUp(response: GrowingResponse): void {
    if (!this.isReleased) this.ledger.addGrowing(this, response);
  }

  /** Sets the amount; has no effect after the release. */
  set(bytes: number): void {
    if (this.isReleased || bytes === this.bytes) return;
    const added = bytes - this.bytes;
    this.bytes = bytes;
    this.ledger.add(added);
  }

  /** Pauses a source that adds to the amount while the host is near its bound. */
  pauseNearBound(source: Source): void {
    if (this.isReleased) return;
    if (this.ledger.mustWait(this, () => source.resume())) source.pause();
  }

  /** Notes that the amount grows no more, so that another source may grow in its place. */
  stopGrowing(): void {
    this.ledger.forget(this);
  }

  /** Gives everything back, for good. */
  release(): void {
    if (this.isReleased) return;
    this.set(0);
    this.isReleased = true;
    this.ledger.forget(this);
  }
}
