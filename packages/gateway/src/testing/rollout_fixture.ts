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

/** A fixture with a runner of an old and one of a new version, and what operators and hosts write of roll-outs. */
export class RolloutFixture extends GatewayFixture {
  readonly old = new ScriptedRunner({id: 'old', version: 'v1'});
  readonly fresh = new ScriptedRunner({id: 'fresh', version: NEW});

  /** Puts a route and both runners into the store. */
  async prepare(): Promise<void> {
    this.configure([{kind: CallKind.SAFE, attempts: 2}]);
    await this.addRunner(this.old);
    await this.addRunner(this.fresh);
  }

  /** Orders the roll-out of the new version. */
  order({service = 'svc', durationMs}: Order): void {
    this.store.put(Topic.OPERATOR, `rollout/${service}`, {
      service,
      version: NEW,
      durationMs,
    });
  }

  /** Lets the runner of the new version answer every request with a failure. */
  breakFresh(): void {
    this.fresh.script = ({id}, response) =>
      response.writeHead(500, {[names.requestId]: id}).end();
  }

  /** Phases that were written to the store, in order; of one service's roll-outs if it is given. */
  phases(service?: string): string[] {
    return this.store
      .records(Topic.STATUS)
      .map(({value}) => JSON.parse(value ?? '{}') as RolloutState)
      .filter(state => service === undefined || state.service === service)
      .map(({phase}) => phase);
  }
}
