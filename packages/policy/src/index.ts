/**
 * Request decisions without I/O: classification, admission, routing, retries,
 * hedging, target health, connection selection, caller limits.
 */
export * from './types.js'
export * from './placement-types.js'
export { classifyRequest, createServiceIndex } from './classification.js'
export { createRouteIndex } from './routes.js'
export { parseLoadReport } from './load-report.js'
export { createTargetTable } from './target-table.js'
export { selectTarget } from './select-target.js'
export { createFleetSize } from './fleet-size.js'
export { createProbeAllowance, type ProbeAllowance } from './probe-allowance.js'
export { planPlacement } from './placement.js'
export { createServiceTimes, type ServiceTimes } from './service-times.js'
export { isPolicyName, policies } from './policies/index.js'
export { createAdmission } from './admission.js'
export { createRetryBudget, shareRetryLimits } from './retry-budget.js'
export { planRetry, splitRetryAllowance } from './retry.js'
export { objectiveHedgeDelayMs, planHedge } from './hedge.js'
export { chooseConnection, connectionShare, findSilentConnections, silenceLimitMs } from './connections.js'
export { findResponseOwner, isReusableAfter } from './response-ownership.js'
export { createCallerLimits } from './caller-limits.js'
export { CALL_DEPTH_MAX, RETRY_ALLOWANCE_DEFAULT } from './constants.js'
