import type {StoreFailureKind} from './store_failure_kind.js';

/** A failed call to the store; the message says what to check. */
export class StoreFailure extends Error {
  constructor(
    readonly kind: StoreFailureKind,
    message: string,
  ) {
    super(message);
    this.name = 'StoreFailure';
  }
}
