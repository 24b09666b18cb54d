/**
 * Readable messages for error codes of the operating system.
 */
const MESSAGE_BY_CODE: Record<string, string> = {
  ENOENT: 'no such file or folder',
  EACCES: 'permission denied',
  EPERM: 'operation not permitted',
  EISDIR: 'is a folder',
  ENOTDIR: 'a part of the path is not a folder',
  EEXIST: 'exists already',
  ENOTEMPTY: 'folder is not empty',
  EROFS: 'the file system is read only',
  ENOSPC: 'no space left'
}

export const describeSystemError = (error: unknown): string => {
  const code = (error as { code?: string }).code
  return (code && MESSAGE_BY_CODE[code]) ?? (error instanceof Error ? error.message : String(error))
}
