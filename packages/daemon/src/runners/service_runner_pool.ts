import type {ServiceRunner} from '@bayspool/decisions';
import {BackendPool} from './backend_pool.js';

/** The plain services' runners that this host may use. */
export class ServiceRunnerPool extends BackendPool<ServiceRunner> {}
