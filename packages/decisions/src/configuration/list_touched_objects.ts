import type {Intent} from './intent.js';
import type {ObjectKey} from './object_key.js';

/** Lists the objects whose revisions an intent depends on; two intents conflict when these overlap. */
export function listTouchedObjects(intent: Intent): ObjectKey[] {
  switch (intent.kind) {
    case 'set-workspace':
      return [`workspace/${intent.workspace.id}`];
    case 'allow-version':
      return [`workspace/${intent.workspace}`, `version/${intent.version}`];
    case 'set-limit':
    case 'move-workspace':
      return [`workspace/${intent.workspace}`];
    case 'roll-out':
    case 'retire':
    case 'withdraw':
    case 'resume-roll-out':
    case 'advance-roll-out':
    case 'halt-version':
      return [`version/${intent.version}`];
    case 'drain-host':
      return [`host/${intent.host}`];
    case 'drain-runner':
      return [`runner/${intent.runner}`];
    case 'undrain':
      return [getUndrainTarget(intent)];
    case 'hand-over-place':
      return [`place/${intent.place}`, `place/${intent.to}`];
  }
}

function getUndrainTarget(
  intent: Extract<Intent, {kind: 'undrain'}>,
): ObjectKey {
  if (intent.host) return `host/${intent.host}`;
  if (intent.runner) return `runner/${intent.runner}`;
  return `place/${intent.place}`;
}
