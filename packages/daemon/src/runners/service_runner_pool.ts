import type {ServiceRunner} from '@bayspool/decisions';
import {BackendPool} from './backend_pool.js';

/** The pool of runners of plain services that this host sends requests to. */
export class ServiceRunnerPool extends BackendPool<ServiceRunner> {}
