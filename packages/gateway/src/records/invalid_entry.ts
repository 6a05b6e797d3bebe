import type {InvalidEntryKind} from './invalid_entry_kind.js';

interface Options {
  readonly kind: InvalidEntryKind;
  /** What was wrong, and what to do. */
  readonly message: string;
}

/** An entry of the store that does not say what it should, maybe because another program wrote it. */
export class InvalidEntry extends Error {
  readonly kind: InvalidEntryKind;

  constructor({kind, message}: Options) {
    super(message);
    this.kind = kind;
  }
}
