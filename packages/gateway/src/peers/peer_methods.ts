import type {SyncAnswer} from './sync_answer.js';
import type {SyncRequest} from './sync_request.js';

/** Methods that hosts call at each other. */
export interface PeerMethods {
  /** Gives own news and asks for the other's. */
  sync(request: SyncRequest): SyncAnswer;
}
