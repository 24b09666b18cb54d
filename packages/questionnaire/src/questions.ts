/**
 * List of the questions. `wisteriavalve init` asks them, `wisteriavalve check`
 * names them with each fault, and docs/questionnaire.md is generated from them.
 */
import {
  addressType, booleanType, choiceType, hostNameType, integerType, listType, nameType, numberType, pathType,
  patternType, targetIdType, type AnswerType, type AnswerValue
} from './answer-types.js'
import { DEFAULTS, METHODS } from './constants.js'

export type QuestionScope = 'fleet' | 'service' | 'target' | 'kind'

/** Earlier answers in the same scope; a proposal may depend on them. */
export type ScopeAnswers = Readonly<Record<string, unknown>>

export type Question = {
  id: string
  scope: QuestionScope
  /** Path of the answer relative to its scope, such as entryVms.count. */
  field: string
  text: string
  rationale: string
  type: AnswerType
  /** Value when no answer is given. */
  default?: AnswerValue
  /** Proposal of the interview; unlike a default it is written to the answers. */
  propose?: (scope: ScopeAnswers) => AnswerValue | undefined
  /** Description of the default, when it depends on other answers. */
  defaultText?: string
  isOptional?: boolean
}

const DEADLINE = integerType({ min: 1, max: 3_600_000 })
const OBJECTIVE_PERCENT = numberType({ above: 0, below: 100 })
const OBJECTIVE_DAYS = integerType({ min: 1, max: 366 })

const isReadOnly = (scope: ScopeAnswers): boolean =>
  Array.isArray(scope.methods) && scope.methods.every(method => method === 'GET' || method === 'HEAD')

const FLEET_QUESTIONS: readonly Question[] = [
  {
    id: 'fleet',
    scope: 'fleet',
    field: 'fleet',
    type: nameType,
    text: 'What is the fleet called?',
    rationale: 'The name is part of every key and message. A daemon rejects the configuration of another fleet.'
  },
  {
    id: 'region',
    scope: 'fleet',
    field: 'region',
    type: nameType,
    text: 'In which region does the fleet run?',
    rationale: 'It states the region that a configuration is for. All zones of a fleet lie in one region.'
  },
  {
    id: 'zones',
    scope: 'fleet',
    field: 'zones',
    type: listType(nameType, 1),
    text: 'Which availability zones have entry VMs or backend servers?',
    rationale: 'Entry answers and routing are spread over the zones. The other zones remain usable when one is lost.'
  },
  {
    id: 'entry-vm-count',
    scope: 'fleet',
    field: 'entryVms.count',
    type: integerType({ min: 1, max: 2000 }),
    text: 'How many entry VMs run the daemon?',
    rationale: 'Connections and probes of each target are divided equally among the entry VMs.',
    propose: () => 20
  },
  {
    id: 'replacement-overlap',
    scope: 'fleet',
    field: 'entryVms.replacementOverlap',
    type: integerType({ min: 0, max: 2000 }),
    text: 'How many entry VMs can run at the same time as the ones they replace?',
    rationale: 'They are included when connections and probes are divided. Otherwise a target would exceed its limits during a replacement.',
    default: DEFAULTS.replacementOverlap
  },
  {
    id: 'restore-count',
    scope: 'fleet',
    field: 'configurationServiceRestoreCount',
    type: integerType({ min: 0 }),
    text: 'How many times has the configuration service been restored from a backup?',
    rationale: 'After a restore, new configurations get lower revisions, and nodes reject lower revisions. Raise the count by one after each restore: a configuration with a higher count supersedes all that have a lower one.',
    default: DEFAULTS.configurationServiceRestoreCount
  },
  {
    id: 'probe-rate',
    scope: 'fleet',
    field: 'measuring.probesPerTargetPerS',
    type: numberType({ min: 0, max: 100 }),
    text: 'How many probes per second may a target receive from the whole fleet?',
    rationale: 'It limits the cost of probing. The age in seconds of the latest observation of a target without traffic is about one divided by this rate.',
    propose: () => 1
  },
  {
    id: 'probe-cpu',
    scope: 'fleet',
    field: 'measuring.cpuPercent',
    type: numberType({ above: 0, max: 100 }),
    text: 'Which percentage of one core of an entry VM may be spent on probes?',
    rationale: 'It limits the cost of probing on small VMs.',
    default: DEFAULTS.cpuPercent
  }
]

const SERVICE_QUESTIONS: readonly Question[] = [
  {
    id: 'service-name',
    scope: 'service',
    field: 'name',
    type: nameType,
    text: 'What is the service called?',
    rationale: 'The VM list assigns targets to the service by this name, and reports show it.'
  },
  {
    id: 'path-prefix',
    scope: 'service',
    field: 'pathPrefix',
    type: pathType,
    defaultText: '/ and the name of the service',
    text: 'With which path prefix do requests for the service begin?',
    rationale: 'It selects the service. The path is forwarded unchanged.',
    propose: scope => typeof scope.name === 'string' ? `/${scope.name}` : undefined,
    isOptional: true
  },
  {
    id: 'hosts',
    scope: 'service',
    field: 'hosts',
    type: listType(hostNameType, 0),
    defaultText: 'none',
    text: 'Which host names also select the service?',
    rationale: 'A request whose Host header names one of them goes to the service, whatever its path.',
    default: []
  },
  {
    id: 'slots',
    scope: 'service',
    field: 'slotsPerTarget',
    type: integerType({ min: 1 }),
    text: 'How many requests can one target run at a time?',
    rationale: 'Further requests wait in the fleet, ordered by weight and deadline, and not at the target.',
    propose: () => 4
  },
  {
    id: 'connections',
    scope: 'service',
    field: 'connectionsPerTarget',
    type: integerType({ min: 1 }),
    text: 'How many connections does one target accept from the whole fleet?',
    rationale: 'Each entry VM gets an equal share, rounded down, and never opens more.',
    propose: () => 300
  },
  {
    id: 'trusts-reuse',
    scope: 'service',
    field: 'trustsReuse',
    type: booleanType,
    text: 'Do you trust targets that do not echo request ids never to send a response twice?',
    rationale: 'With no, such a target gets a new connection for each request, which takes about 1 ms. With yes, an extra response can reach the caller of another request.',
    default: DEFAULTS.trustsReuse
  },
  {
    id: 'warmup',
    scope: 'service',
    field: 'warmupMs',
    type: integerType({ min: 0, max: 600_000 }),
    text: 'For how many ms after its start is a target cold?',
    rationale: 'A cold target is slow and crashes under a full share of requests. 0 means that targets need no warm-up.',
    default: DEFAULTS.warmupMs
  },
  {
    id: 'warmup-rate',
    scope: 'service',
    field: 'warmupRatePerS',
    type: numberType({ min: 0, max: 10_000 }),
    text: 'How many requests per second does a cold target accept from all nodes together?',
    rationale: 'Nodes send it no more than this, and what other targets cannot take meanwhile is refused. 0 means no limit. Without a warm-up it has no effect.',
    default: DEFAULTS.warmupRatePerS
  },
  {
    id: 'health-path',
    scope: 'service',
    field: 'healthPath',
    type: pathType,
    text: 'At which path does a target report its health?',
    rationale: 'Probes request this path to get the state and load of targets without traffic.',
    default: DEFAULTS.healthPath
  },
  {
    id: 'default-deadline',
    scope: 'service',
    field: 'defaultDeadlineMs',
    type: DEADLINE,
    text: 'After how many ms is the response to a request of an unknown kind no longer useful?',
    rationale: 'Requests that match no kind are treated as non-idempotent and get this deadline.',
    default: DEFAULTS.defaultDeadlineMs
  },
  {
    id: 'service-objective-percent',
    scope: 'service',
    field: 'objective.inTimePercent',
    type: OBJECTIVE_PERCENT,
    text: 'Which percentage of the requests should be answered in time?',
    rationale: 'The report compares the measured percentage with it. Routing does not depend on it.',
    default: DEFAULTS.objective.inTimePercent
  },
  {
    id: 'service-objective-days',
    scope: 'service',
    field: 'objective.windowDays',
    type: OBJECTIVE_DAYS,
    text: 'Over how many days is the objective measured?',
    rationale: 'The error budget is the share of requests that may fail in this period.',
    default: DEFAULTS.objective.windowDays
  }
]

const TARGET_QUESTIONS: readonly Question[] = [
  {
    id: 'target-id',
    scope: 'target',
    field: 'id',
    type: targetIdType,
    text: 'What is the id of the target?',
    rationale: 'Status and reports show it. A VM of the VM list with the same id is the same target.'
  },
  {
    id: 'target-host',
    scope: 'target',
    field: 'host',
    type: addressType,
    text: 'Which IP address does the target have?',
    rationale: 'Nodes connect to it directly, without a DNS lookup.'
  },
  {
    id: 'target-port',
    scope: 'target',
    field: 'port',
    type: integerType({ min: 1, max: 65_535 }),
    text: 'On which port does the target listen?',
    rationale: 'Nodes connect to this port.'
  },
  {
    id: 'target-zone',
    scope: 'target',
    field: 'zone',
    type: nameType,
    text: 'In which availability zone is the target?',
    rationale: 'For a node, targets in its own zone are closer in the network.'
  }
]

const KIND_QUESTIONS: readonly Question[] = [
  {
    id: 'kind-name',
    scope: 'kind',
    field: 'name',
    type: nameType,
    text: 'What is the kind of request called?',
    rationale: 'Reports show it. Requests of one kind have the same importance and the same failure handling.'
  },
  {
    id: 'kind-methods',
    scope: 'kind',
    field: 'methods',
    type: listType(choiceType(METHODS), 1),
    text: 'Which HTTP methods belong to the kind?',
    rationale: 'A request belongs to the first kind whose methods and path match it.',
    propose: () => ['GET', 'HEAD']
  },
  {
    id: 'kind-path',
    scope: 'kind',
    field: 'path',
    type: patternType,
    text: 'Which paths belong to the kind, from the first / on?',
    rationale: 'A request belongs to the first kind whose methods and path match it. * matches one segment, ** at the end matches any rest.'
  },
  {
    id: 'kind-idempotent',
    scope: 'kind',
    field: 'idempotent',
    type: booleanType,
    text: 'Does such a request have the same effect when it runs more than once as when it runs once?',
    rationale: 'Only idempotent requests are retried after a failure or hedged. Orders, payments and offers are not idempotent.',
    propose: isReadOnly
  },
  {
    id: 'kind-bounded-by',
    scope: 'kind',
    field: 'boundedBy',
    type: choiceType(['deadline', 'progress']),
    text: 'Is the total time limited (deadline) or only the time without a transferred byte (progress)?',
    rationale: 'Long uploads and downloads are bounded by progress. They are then not aborted while bytes are transferred.',
    default: DEFAULTS.boundedBy
  },
  {
    id: 'kind-deadline',
    scope: 'kind',
    field: 'deadlineMs',
    type: DEADLINE,
    text: 'After how many ms is the answer of no use, or the transfer without a byte over?',
    rationale: 'A request that cannot be answered in time is refused immediately, and the caller can react early.',
    propose: scope => scope.boundedBy === 'progress' ? 15_000 : DEFAULTS.defaultDeadlineMs
  },
  {
    id: 'kind-weight',
    scope: 'kind',
    field: 'weight',
    type: integerType({ min: 1, max: 100 }),
    text: 'How important is the kind, from 1 to 100?',
    rationale: 'Under overload, requests with a higher weight run first. Reports count requests by weight.',
    default: DEFAULTS.weight
  },
  {
    id: 'kind-body',
    scope: 'kind',
    field: 'bodyBytesMax',
    type: integerType({ min: 0 }),
    text: 'How large may the request body be, in bytes?',
    rationale: 'Larger bodies are refused. Bodies up to 65536 bytes of idempotent kinds are buffered for a retry.',
    default: DEFAULTS.bodyBytesMax
  },
  {
    id: 'kind-objective-percent',
    scope: 'kind',
    field: 'objective.inTimePercent',
    type: OBJECTIVE_PERCENT,
    text: 'Which percentage of the requests of this kind should be answered in time?',
    rationale: 'More important kinds can have a stricter objective than their service.',
    defaultText: 'objective of the service',
    isOptional: true
  },
  {
    id: 'kind-objective-days',
    scope: 'kind',
    field: 'objective.windowDays',
    type: OBJECTIVE_DAYS,
    text: 'Over how many days is the objective of this kind measured?',
    rationale: 'The error budget is the share of requests that may fail in this period.',
    defaultText: 'objective of the service',
    isOptional: true
  }
]

export const QUESTIONS: readonly Question[] = [...FLEET_QUESTIONS, ...SERVICE_QUESTIONS, ...TARGET_QUESTIONS, ...KIND_QUESTIONS]

export const questionsOf = (scope: QuestionScope): readonly Question[] => QUESTIONS.filter(question => question.scope === scope)

export const questionById = (id: string): Question | undefined => QUESTIONS.find(question => question.id === id)

/** True when answers are invalid without an answer to this question. */
export const isRequired = (question: Question): boolean => question.default === undefined && !question.isOptional

const SCOPE_PATHS: Record<QuestionScope, string> = {
  fleet: '', service: 'services[].', target: 'services[].targets[].', kind: 'services[].kinds[].'
}

/** Path of the answer in an answers file, such as services[].kinds[].path. */
export const questionPath = ({ scope, field }: Question): string => `${SCOPE_PATHS[scope]}${field}`
