/** Test support for the decision logic on routed calls. */
export {findLeavingExcess} from './find_leaving_excess.js';
export {findLimitExcess} from './find_limit_excess.js';
export {findRestExcess} from './find_rest_excess.js';
export {findRetryExcess} from './find_retry_excess.js';
