/**
 * Finds configuration values whose size is near or above the limit of the configuration service.
 */
import type { Answers } from '@wisteriavalve/schema'
import { VALUE_BYTES_MAX, VALUE_BYTES_WARNING } from '../constants.js'
import { generateConfiguration } from '../generate.js'
import { resolveService } from '../resolve.js'
import type { ReportFinding } from './types.js'

const severityOfSize = (sizeBytes: number): 'fault' | 'warning' | undefined =>
  sizeBytes > VALUE_BYTES_MAX ? 'fault' : sizeBytes > VALUE_BYTES_WARNING ? 'warning' : undefined

/** Only for answers without other faults. */
export const checkSizes = (answers: Answers, report: ReportFinding): void => {
  answers.services.forEach((service, index) => {
    const sizeBytes = Buffer.byteLength(JSON.stringify(resolveService(service)))
    const severity = severityOfSize(sizeBytes)
    if (severity) report(severity, ['services', index], `the value of the service has ${sizeBytes} bytes; the configuration service accepts at most ${VALUE_BYTES_MAX}. Take the targets from the VM list or split the service`)
  })
  const serviceCount = answers.services.length
  const sizeBytes = Math.max(...generateConfiguration(answers).slice(serviceCount).map(({ bytes }) => bytes.length))
  const severity = severityOfSize(sizeBytes)
  if (severity) report(severity, ['services'], `a value that lists the ${serviceCount} services has ${sizeBytes} bytes; the configuration service accepts at most ${VALUE_BYTES_MAX}. Split the fleet`)
}
