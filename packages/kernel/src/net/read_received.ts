import {finishTurn} from './finish_turn.js';

/** Turns of the event loop in which all is read that the kernel had received; the first one may have read before. */
const TURNS = 2;

/** Resolves once the event loop has read what the kernel had received of all connections. */
export async function readReceived(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn++) await finishTurn();
}
