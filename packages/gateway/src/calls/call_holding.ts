import type {IncomingMessage, ServerResponse} from 'node:http';
import type {HeldAmount} from './held_amount.js';
import type {HeldBytes} from './held_bytes.js';

/** The request body of a call as far as the ledger of the host is concerned. */
interface HeldBody {
  readonly held: HeldAmount;
  /** Size of the body as declared, in bytes; 0 if it is not known. */
  readonly declaredBytes: number;
}

/** What this host holds for one call: its request body, buffered responses, and what the caller has not taken yet. */
export class CallHolding {
  private readonly bodyAmount: HeldAmount;
  private readonly responseAmounts: HeldAmount[] = [];
  private readonly unsentAmount: HeldAmount;
  private declaredBytes = 0;

  constructor(
    private readonly ledger: HeldBytes,
    private readonly response: ServerResponse,
  ) {
    this.bodyAmount = ledger.hold();
    this.unsentAmount = ledger.hold();
    response.on('drain', () => this.updateUnsent());
    // What the caller has not taken is held until the connection is done with it, also after the call has ended.
    response.once('close', () => this.unsentAmount.release());
  }

  get body(): HeldBody {
    return {held: this.bodyAmount, declaredBytes: this.declaredBytes};
  }

  /**
   * Holds the declared size of the request body, up to the size at which it is refused.
   *
   * @returns whether the host has no room for a call of this priority
   */
  takeBody(
    request: IncomingMessage,
    maxBytes: number,
    priority: number,
  ): boolean {
    const declared = Number(request.headers['content-length'] ?? 0);
    this.declaredBytes = Math.min(maxBytes, declared);
    if (!this.ledger.makeRoom(priority, this.declaredBytes)) return true;
    this.bodyAmount.set(this.declaredBytes);
    return false;
  }

  /** Returns an amount for a response that is buffered. */
  holdResponse(): HeldAmount {
    const amount = this.ledger.hold();
    this.responseAmounts.push(amount);
    return amount;
  }

  /** Updates what the caller has not taken, after a write. A buffer that is not full is left out: it is small. */
  updateUnsent(): void {
    const {response} = this;
    const isHeld = response.writableNeedDrain || response.writableEnded;
    this.unsentAmount.set(isHeld ? response.writableLength : 0);
  }

  /** Gives back everything but what the caller has not taken, when the call has ended. */
  release(): void {
    this.bodyAmount.release();
    for (const amount of this.responseAmounts) amount.release();
  }
}
