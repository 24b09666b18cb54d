/**
 * Body of the failure responses of this node.
 */
import { resultCode, type FailureBody, type ResultName } from '@wisteriavalve/schema'

export const failureBody = (name: ResultName, detail?: string): string => {
  const { code, class: resultClass, message } = resultCode(name)
  const body: FailureBody = { resultCode: code, resultClass: resultClass as FailureBody['resultClass'], message: detail === undefined ? message : `${message}: ${detail}` }
  return JSON.stringify(body)
}
