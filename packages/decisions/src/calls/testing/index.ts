/** Test support for the decision logic on routed calls. */
export {findLimitExcess} from './find_limit_excess.js';
export {findRetryExcess} from './find_retry_excess.js';
