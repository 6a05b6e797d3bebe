import {fields, pluginRegistry, tokens, type Plugin} from '@bayspool/kernel';
import {z} from 'zod';
import {daemonTokens} from '../daemon_tokens.js';
import {OperatorServer} from './operator_server.js';
import {IntentPlanner} from './intent_planner.js';

const sections = {
  operators: {
    name: 'operators',
    shape: z.strictObject({
      /** Address of the operator server; separate from the callers' address. */
      listen: fields.endpoint(),
      /** How long a plan can be confirmed. */
      'plan-life': fields.duration('10m'),
    }),
  },
  /** `[operator alice]`: an operator who may submit intents. */
  operator: {
    name: 'operator',
    named: true,
    shape: z.strictObject({
      'key-hash': z
        .string(
          "needs the SHA-256 of the operator's key, in hex; make it with bayspool hash-key",
        )
        .regex(
          /^[0-9a-f]{64}$/,
          "needs the SHA-256 of the operator's key, in hex; make it with bayspool hash-key",
        ),
    }),
  },
};

const operatorsPlugin: Plugin = {
  name: 'operators',
  sections: Object.values(sections),
  install(container, settings) {
    const section = settings.one(sections.operators);
    const keys = [...settings.all(sections.operator)].map(
      ([name, operator]) => ({name, hash: operator['key-hash']}),
    );
    const store = container.get(daemonTokens.configurationStore);
    const planner = new IntentPlanner({
      store,
      clock: container.get(tokens.clock),
      sealer: container.get(daemonTokens.sealers).plans,
      submitter: container.get(daemonTokens.intentSubmitter),
      planTtlMs: section['plan-life'],
    });
    container.bind(daemonTokens.intentPlanner).toConstantValue(planner);
    container.bind(tokens.service).toConstantValue(
      new OperatorServer({
        pacer: container.get(daemonTokens.requestPacer),
        endpoint: section.listen,
        keys,
        planner,
        store,
        logger: container.get(tokens.logger),
        metrics: container.get(tokens.metrics),
        identity: container.get(daemonTokens.hostIdentity),
        membership: container.get(daemonTokens.membership),
        freshness: container.get(daemonTokens.freshness),
        leaving: container.get(daemonTokens.leavingState),
        pool: container.get(daemonTokens.runnerPool),
      }),
    );
  },
};

pluginRegistry.register(operatorsPlugin);
