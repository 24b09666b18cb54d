/**
 * Values of the configuration that come near the limit of the configuration service.
 */
import type { Answers } from '@wisteriavalve/schema'
import { VALUE_BYTES_MAX, VALUE_BYTES_WARNING } from '../constants.js'
import { generateConfiguration } from '../generate.js'
import { resolveService } from '../resolve.js'
import type { CheckReport } from './types.js'

const judge = (sizeBytes: number): 'fault' | 'warning' | undefined =>
  sizeBytes > VALUE_BYTES_MAX ? 'fault' : sizeBytes > VALUE_BYTES_WARNING ? 'warning' : undefined

/** Only for answers without other faults. */
export const checkSizes = (answers: Answers, report: CheckReport): void => {
  answers.services.forEach((service, index) => {
    const sizeBytes = Buffer.byteLength(JSON.stringify(resolveService(service)))
    const severity = judge(sizeBytes)
    if (severity) report(severity, ['services', index], `the value of the service has ${sizeBytes} bytes; the configuration service holds ${VALUE_BYTES_MAX}. Take the targets from the VM list or split the service`)
  })
  const services = answers.services.length
  const sizeBytes = Math.max(...generateConfiguration(answers).slice(services).map(({ bytes }) => bytes.length))
  const severity = judge(sizeBytes)
  if (severity) report(severity, ['services'], `a value that lists the ${services} services has ${sizeBytes} bytes; the configuration service holds ${VALUE_BYTES_MAX}. Split the fleet`)
}
