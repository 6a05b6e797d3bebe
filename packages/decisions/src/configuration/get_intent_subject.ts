import type {Intent} from './intent.js';

/** Returns the object that an intent is about, as shown in lists. */
export function getIntentSubject(intent: Intent): string {
  if (intent.kind === 'set-workspace') return intent.workspace.id;
  if (intent.kind === 'undrain')
    return intent.host ?? intent.runner ?? String(intent.place);
  if ('version' in intent && 'workspace' in intent)
    return `${intent.workspace}/${intent.version}`;
  if ('version' in intent) return intent.version;
  if ('workspace' in intent) return intent.workspace;
  if ('place' in intent) return intent.place;
  return 'host' in intent ? intent.host : intent.runner;
}
