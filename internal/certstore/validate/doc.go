// Package validate validates certificates, private keys and trusted roots. It does no I/O and reads no clock: the
// caller passes the contents of files and the current time.
//
// It answers three questions:
//
//   - Parse and Material.CheckIdentity: are the files complete and valid?
//   - Rotation.Offer: may they replace the material in use?
//   - Rotation.Retirement: until when may a connection that was established earlier carry new requests?
//
// The rules are checked in this order, and the first violated rule is reported:
//
//	rule         condition                                              consequence
//	Unreadable   a file is missing, empty, too large or not readable    pending for SettleTime, then rejected
//	Incomplete   a file holds no complete PEM block of its kind         pending for SettleTime, then rejected
//	KeyMismatch  the private key does not belong to the certificate     pending for SettleTime, then rejected
//	Weak         RSA key too short, small curve, SHA-1 or MD5 signature rejected
//	WrongName    the certificate is not valid for a required name       rejected
//	WrongUsage   the extended key usage does not permit client or server rejected
//	NotYetValid  the validity of a certificate begins later             pending until then
//	Expired      the validity of the certificate has ended              rejected, unless expiry is permitted
//	Untrusted    no chain leads from the certificate to a trusted root  rejected
//	Revoked      a revocation list of the issuer lists the certificate  rejected
//
// The first three faults are transient: a certificate and its key are two files that are replaced one after the other,
// so that a reader may find one new and one old file for a short time.
package validate
