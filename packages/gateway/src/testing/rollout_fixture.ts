import {CallKind} from '@bayspool/decisions/calls';
import type {RolloutState} from '@bayspool/decisions/calls';
import {Topic} from '../records/topic.js';
import {GatewayFixture} from './gateway_fixture.js';
import {plainHeaderNames as names} from './plain_header_names.js';
import {ScriptedRunner} from './scripted_runner.js';

interface Order {
  readonly service?: string;
  readonly durationMs: number;
}

/** The version that is rolled out. */
const NEW = 'v2';

/** A gateway fixture with one runner of the old and one of the new version, which orders rollouts and reads their phases. */
export class RolloutFixture extends GatewayFixture {
  readonly old = new ScriptedRunner({id: 'old', version: 'v1'});
  readonly canary = new ScriptedRunner({id: 'fresh', version: NEW});

  /** Writes a route and both runners to the store. */
  async prepare(): Promise<void> {
    this.configure([{kind: CallKind.SAFE, attempts: 2}]);
    await this.addRunner(this.old);
    await this.addRunner(this.canary);
  }

  /** Orders the rollout of the new version. */
  order({service = 'svc', durationMs}: Order): void {
    this.store.put(Topic.OPERATOR, `rollout/${service}`, {
      service,
      version: NEW,
      durationMs,
    });
  }

  /** Makes the runner of the new version fail every request. */
  failCanary(): void {
    this.canary.script = ({id}, response) =>
      response.writeHead(500, {[names.requestId]: id}).end();
  }

  /** Rollout phases written to the store, in order; only those of one service if given. */
  phases(service?: string): string[] {
    return this.store
      .records(Topic.STATUS)
      .map(({value}) => JSON.parse(value ?? '{}') as RolloutState)
      .filter(state => service === undefined || state.service === service)
      .map(({phase}) => phase);
  }
}
