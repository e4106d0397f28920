package builder

import "github.com/amaranthcart/amaranthcart/internal/config/validator"

// ModelPart declares a model.
type ModelPart struct{ model validator.Model }

// ModelOption sets one property of a model.
type ModelOption func(*ModelPart)

// Model declares a model and the class of requests that name no class.
func Model(name string, class *ClassPart, options ...ModelOption) *ModelPart {
	p := &ModelPart{model: validator.Model{Name: validator.PoolName(name), Class: class.name()}}
	for _, o := range options {
		o(p)
	}
	return p
}

func (p *ModelPart) add(c *Configuration) {
	c.document.Models = append(c.document.Models, p.model)
}

// Also permits further classes to use the model.
func Also(classes ...*ClassPart) ModelOption {
	return func(p *ModelPart) {
		for _, c := range classes {
			p.model.Classes = append(p.model.Classes, c.name())
		}
	}
}

// ServicePart declares a plain service.
type ServicePart struct{ service validator.Service }

// ServiceOption sets one property of a service.
type ServiceOption func(*ServicePart)

// Service declares a plain service and the class of its calls. Unless options say
// otherwise, only calls with GET, HEAD and OPTIONS may be repeated.
func Service(name string, class *ClassPart, options ...ServiceOption) *ServicePart {
	p := &ServicePart{service: validator.Service{Name: validator.PoolName(name), Class: class.name()}}
	for _, o := range options {
		o(p)
	}
	return p
}

func (p *ServicePart) add(c *Configuration) {
	c.document.Services = append(c.document.Services, p.service)
}

// CallOption sets one property of a call.
type CallOption func(*validator.Call)

// In gives a call a class other than that of its service.
func In(class *ClassPart) CallOption {
	return func(c *validator.Call) { c.Class = class.name() }
}

// Once declares that calls with the method, at the path and below it, must not be sent
// twice.
func Once(method, path string, options ...CallOption) ServiceOption {
	return call(validator.Call{Method: method, Path: path}, options)
}

// Repeatable declares that calls with the method, at the path and below it, may be sent
// more than once.
func Repeatable(method, path string, options ...CallOption) ServiceOption {
	return call(validator.Call{Method: method, Path: path, Repeat: true}, options)
}

func call(c validator.Call, options []CallOption) ServiceOption {
	for _, o := range options {
		o(&c)
	}
	return func(p *ServicePart) { p.service.Calls = append(p.service.Calls, c) }
}
