import type {Configuration} from './configuration.js';
import type {Intent} from './intent.js';

const WAIT_UNTIL_IN_FORCE =
  'wait until every host reports the configuration in force';

/** Describes the steps of an intent for the operator, in the order in which they happen. */
export function describeSteps(config: Configuration, intent: Intent): string[] {
  switch (intent.kind) {
    case 'set-workspace':
      return [
        `${config.workspaces[intent.workspace.id] ? 'replace' : 'create'} workspace ${intent.workspace.id}`,
        WAIT_UNTIL_IN_FORCE,
      ];
    case 'allow-version':
      return [
        `${intent.allowed ? 'allow' : 'forbid'} ${intent.version} for task ${intent.task} of workspace ${intent.workspace}`,
        WAIT_UNTIL_IN_FORCE,
      ];
    case 'set-limit':
      return [
        intent.limit
          ? `limit workspace ${intent.workspace} to ${intent.limit.requestsPerSecond} requests/s`
          : `lift the limit of workspace ${intent.workspace}`,
        WAIT_UNTIL_IN_FORCE,
      ];
    case 'move-workspace':
      return [
        `new work of workspace ${intent.workspace} goes to ${intent.to} instead of ${config.workspaces[intent.workspace]?.home}`,
        'running work finishes where it is',
        WAIT_UNTIL_IN_FORCE,
      ];
    case 'roll-out':
      return [
        `create version ${intent.version} as rolling-out`,
        'order runners to load it, place by place, at the rate of the weight store',
        ...intent.steps.map(
          step =>
            `give it ${step * 100}% of its model's work until the gate passes`,
        ),
        'make it stable',
      ];
    case 'retire':
      return [
        `start no new session on ${intent.version}`,
        'sessions that have it go on',
        WAIT_UNTIL_IN_FORCE,
      ];
    case 'withdraw':
      return [
        `give ${intent.version} no new work`,
        'its sessions end at their next turn',
        'streams already running finish',
        WAIT_UNTIL_IN_FORCE,
      ];
    case 'resume-roll-out':
      return [`lift the halt of ${intent.version}`, WAIT_UNTIL_IN_FORCE];
    case 'advance-roll-out':
      return [`move ${intent.version} to step ${intent.step}`];
    case 'halt-version':
      return [`halt ${intent.version}`];
    case 'drain-host':
      return [
        `host ${intent.host} reports not ready and takes no new work`,
        'its running work finishes',
        'it hands its bills to a peer',
      ];
    case 'drain-runner':
      return [
        `runner ${intent.runner} gets no new work`,
        'its running work finishes',
      ];
    case 'undrain':
      return ['it takes new work again'];
    case 'hand-over-place':
      return [
        `new work of ${intent.place} goes to ${intent.to}`,
        `running work in ${intent.place} finishes there`,
        'wait until every host reports none running there',
        WAIT_UNTIL_IN_FORCE,
      ];
  }
}
