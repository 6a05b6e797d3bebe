import {Router} from 'express';
import type {ConfigurationStore} from './configuration/configuration_store.js';
import type {LeavingState} from './leaving/leaving_state.js';

interface Options {
  readonly store: ConfigurationStore;
  readonly leaving: LeavingState;
}

/** Creates `GET /healthz` (the process runs) and `GET /readyz` (it accepts new work), which the load balancer checks. */
export function createHealthRouter(options: Options): Router {
  const router = Router();
  router.get('/healthz', (_request, response) => {
    response.json({ok: true});
  });
  router.get('/readyz', (_request, response) => {
    const ready = options.store.isReady && !options.leaving.isLeaving();
    response.status(ready ? 200 : 503).json({
      ready,
      leaving: options.leaving.isLeaving(),
      configured: options.store.isReady,
    });
  });
  return router;
}
